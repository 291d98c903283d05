// Tests of `core/workspaces/workspace_table.h` and of the digests of keys.

#include "core/workspaces/workspace_table.h"

#include <string>
#include <unordered_set>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

Workspace WithKeys(const std::string& name,
                   const std::vector<std::string>& keys) {
  Workspace workspace;
  workspace.name = WorkspaceName(name);
  for (const std::string& key : keys)
    workspace.keys.push_back(KeyDigest::Of(key));
  return workspace;
}

// Returns "-" if no workspace has the key.
std::string OwnerOf(const WorkspaceTable& table, const std::string& key) {
  const Workspace* const workspace = table.Find(KeyDigest::Of(key));
  return workspace ? workspace->name.value() : "-";
}

TEST(KeyDigestTest, EqualsOnlyThatOfTheSameKey) {
  EXPECT_EQ(KeyDigest::Of("k-1"), KeyDigest::Of("k-1"));
  EXPECT_NE(KeyDigest::Of("k-1"), KeyDigest::Of("k-2"));
  EXPECT_NE(KeyDigest::Of("k-1"), KeyDigest::Of("k-1 "));
  EXPECT_NE(KeyDigest::Of("k-1"), KeyDigest::Of("K-1"));
}

// Guards against a hash that uses too few bits, which would make the look-up
// linear.
TEST(KeyDigestTest, HashesAreDistinct) {
  constexpr std::size_t keys_per_workspace = 10'000;
  std::unordered_set<std::size_t> hashes;
  for (std::size_t i = 0; i < keys_per_workspace; ++i)
    hashes.insert(std::hash<KeyDigest>()(KeyDigest::Of(std::to_string(i))));
  EXPECT_EQ(hashes.size(), keys_per_workspace);
}

struct ChangeCase {
  const char* name;
  std::optional<std::vector<Workspace>> workspaces;
  bool is_in_use;
  // The owners of the keys "a", "b" and "c".
  std::vector<std::string> owners;
};

class WorkspaceTableChangeTest : public testing::TestWithParam<ChangeCase> {};

// Guards against keys of the earlier document that remain valid.
TEST_P(WorkspaceTableChangeTest, OnlyTheKeysOfTheNewDocumentAreKnown) {
  WorkspaceTable table;
  EXPECT_FALSE(table.is_in_use());
  table.Replace({{WithKeys("one", {"a", "b"}), WithKeys("two", {"c"})}});
  EXPECT_TRUE(table.is_in_use());
  EXPECT_EQ(OwnerOf(table, "a"), "one");
  EXPECT_EQ(OwnerOf(table, "b"), "one");
  EXPECT_EQ(OwnerOf(table, "c"), "two");
  EXPECT_EQ(OwnerOf(table, "d"), "-");

  table.Replace(GetParam().workspaces);
  EXPECT_EQ(table.is_in_use(), GetParam().is_in_use);
  const std::vector<std::string> owners = {
      OwnerOf(table, "a"), OwnerOf(table, "b"), OwnerOf(table, "c")};
  EXPECT_EQ(owners, GetParam().owners);
}

INSTANTIATE_TEST_SUITE_P(
    Documents,
    WorkspaceTableChangeTest,
    testing::Values(
        ChangeCase{"KeyWithdrawn",
                   {{WithKeys("one", {"b"}), WithKeys("two", {"c"})}},
                   true,
                   {"-", "one", "two"}},
        ChangeCase{"KeyMoved",
                   {{WithKeys("one", {"b"}), WithKeys("two", {"a", "c"})}},
                   true,
                   {"two", "one", "two"}},
        ChangeCase{"LastKeyWithdrawn",
                   {{WithKeys("one", {"a", "b"}), WithKeys("two", {})}},
                   true,
                   {"one", "one", "-"}},
        ChangeCase{"WorkspaceRemoved",
                   {{WithKeys("two", {"c"})}},
                   true,
                   {"-", "-", "two"}},
        ChangeCase{"NoWorkspaces",
                   std::vector<Workspace>(),
                   true,
                   {"-", "-", "-"}},
        ChangeCase{"NoKeysRequired", std::nullopt, false, {"-", "-", "-"}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount
