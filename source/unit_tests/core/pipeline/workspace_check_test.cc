// Tests which requests a node serves by their keys.

#include "core/pipeline/workspace_check.h"

#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

class FixedAge : public ConfirmationSource {
 public:
  explicit FixedAge(std::optional<Duration> age) : m_age(age) {}
  std::optional<Duration> AgeOfConfirmation(TimePoint) const override {
    return m_age;
  }

 private:
  std::optional<Duration> m_age;
};

enum class Document { kNoWorkspaces, kWorkspaces };
enum class Access { kPublic, kByKey };
enum class Key { kNone, kUnknown, kKnown };

struct CheckCase {
  const char* name;
  Document document;
  Access access;
  Key key;
  std::optional<Duration> max_unconfirmed;
  std::optional<Duration> age;
  Reason refusal;
  // The workspace of the request; empty if there is none.
  const char* workspace;
};

class WorkspaceCheckTest : public testing::TestWithParam<CheckCase> {};

TEST_P(WorkspaceCheckTest, RequestIsServedOrRefused) {
  Workspace workspace;
  workspace.name = WorkspaceName("one");
  workspace.keys = {KeyDigest::Of("k")};
  WorkspaceTable table;
  if (GetParam().document == Document::kWorkspaces)
    table.Replace({{workspace}});
  Route route;
  route.is_public = GetParam().access == Access::kPublic;
  std::optional<KeyDigest> key;
  if (GetParam().key != Key::kNone)
    key = KeyDigest::Of(GetParam().key == Key::kKnown ? "k" : "other");

  const FixedAge age(GetParam().age);
  const WorkspaceVerdict verdict =
      WorkspaceCheck(age, GetParam().max_unconfirmed)
          .Check(TimePoint(), route, table, key);
  EXPECT_EQ(verdict.refusal, GetParam().refusal);
  EXPECT_EQ(verdict.workspace ? verdict.workspace->name.value() : "",
            GetParam().workspace);
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    WorkspaceCheckTest,
    testing::Values(
        CheckCase{"KnownKey",
                  Document::kWorkspaces,
                  Access::kByKey,
                  Key::kKnown,
                  {},
                  {},
                  Reason::kNone,
                  "one"},
        CheckCase{"UnknownKey",
                  Document::kWorkspaces,
                  Access::kByKey,
                  Key::kUnknown,
                  {},
                  {},
                  Reason::kUnknownKey,
                  ""},
        CheckCase{"NoKey",
                  Document::kWorkspaces,
                  Access::kByKey,
                  Key::kNone,
                  {},
                  {},
                  Reason::kUnknownKey,
                  ""},
        CheckCase{"PublicWithoutKey",
                  Document::kWorkspaces,
                  Access::kPublic,
                  Key::kNone,
                  {},
                  {},
                  Reason::kNone,
                  ""},
        CheckCase{"PublicWithKey",
                  Document::kWorkspaces,
                  Access::kPublic,
                  Key::kKnown,
                  {},
                  {},
                  Reason::kNone,
                  ""},
        CheckCase{"NoWorkspacesNoKey",
                  Document::kNoWorkspaces,
                  Access::kByKey,
                  Key::kNone,
                  {},
                  {},
                  Reason::kNone,
                  ""},
        CheckCase{"NoWorkspacesWithKey",
                  Document::kNoWorkspaces,
                  Access::kByKey,
                  Key::kKnown,
                  {},
                  {},
                  Reason::kNone,
                  ""},
        // Without the setting, a node that is cut off continues to serve.
        CheckCase{"OldDocument",
                  Document::kWorkspaces,
                  Access::kByKey,
                  Key::kKnown,
                  {},
                  1000s,
                  Reason::kNone,
                  "one"},
        CheckCase{"StrictAndConfirmed", Document::kWorkspaces, Access::kByKey,
                  Key::kKnown, 5s, 5s, Reason::kNone, "one"},
        CheckCase{"StrictAndOld", Document::kWorkspaces, Access::kByKey,
                  Key::kKnown, 5s, 5001ms, Reason::kConfigurationUnknown, ""},
        CheckCase{"StrictAndNeverConfirmed",
                  Document::kWorkspaces,
                  Access::kByKey,
                  Key::kKnown,
                  5s,
                  {},
                  Reason::kConfigurationUnknown,
                  ""},
        // The newest document may contain the key: 401 could be false.
        CheckCase{"StrictAndOldUnknownKey", Document::kWorkspaces,
                  Access::kByKey, Key::kUnknown, 5s, 6s,
                  Reason::kConfigurationUnknown, ""},
        CheckCase{"StrictAndOldNoKey", Document::kWorkspaces, Access::kByKey,
                  Key::kNone, 5s, 6s, Reason::kUnknownKey, ""},
        CheckCase{"StrictAndOldPublic", Document::kWorkspaces, Access::kPublic,
                  Key::kNone, 5s, 6s, Reason::kNone, ""},
        CheckCase{"StrictWithoutWorkspaces", Document::kNoWorkspaces,
                  Access::kByKey, Key::kNone, 5s, 6s, Reason::kNone, ""}),
    [](const auto& info) { return std::string(info.param.name); });

struct PriorityCase {
  const char* name;
  bool has_workspace;
  std::optional<std::uint32_t> own;
  std::uint32_t expected;
};

class WorkspacePriorityTest : public testing::TestWithParam<PriorityCase> {};

TEST_P(WorkspacePriorityTest, OverridesThatOfTheRouteIfItIsSet) {
  Route route;
  route.priority = 3;
  Workspace workspace;
  workspace.priority = GetParam().own;
  WorkspaceVerdict verdict;
  if (GetParam().has_workspace)
    verdict.workspace = &workspace;
  EXPECT_EQ(verdict.PriorityOn(route), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Priorities,
    WorkspacePriorityTest,
    testing::Values(PriorityCase{"MoreUrgent", true, 0, 0},
                    PriorityCase{"LessUrgent", true, 7, 7},
                    PriorityCase{"NotSet", true, {}, 3},
                    PriorityCase{"NoWorkspace", false, {}, 3}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount
