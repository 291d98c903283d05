// `ParseYaml` of `yaml_reader.h`: builds nodes from the events of yaml-cpp.

#include <sstream>
#include <utility>

#include <fmt/format.h>
#include <yaml-cpp/anchor.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include "core/settings/yaml_reader.h"

namespace bulrushmount {

namespace {

YamlPosition PositionOf(const YAML::Mark& mark) {
  if (mark.is_null())
    return YamlPosition{};
  return YamlPosition{static_cast<std::size_t>(mark.line) + 1,
                      static_cast<std::size_t>(mark.column) + 1};
}

// Builds the tree. An event that exceeds the bound on depth or node count
// throws an exception, which ends the parse.
class TreeBuilder : public YAML::EventHandler {
 public:
  explicit TreeBuilder(YamlFaults& faults) : m_faults(faults) {}

  std::optional<YamlNode> TakeRoot() { return std::move(m_root); }

  void OnDocumentStart(const YAML::Mark& mark) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    CheckAnchor(mark, anchor);
    AddNode(NewNode(YamlNodeType::kNull, mark));
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    m_faults.Add(PositionOf(mark), "aliases are not accepted");
    AddNode(NewNode(YamlNodeType::kNull, mark));
  }

  void OnScalar(const YAML::Mark& mark,
                const std::string& tag,
                YAML::anchor_t anchor,
                const std::string& value) override {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    YamlNode node = NewNode(YamlNodeType::kScalar, mark);
    node.scalar = value;
    AddNode(std::move(node));
  }

  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value style) override {
    Open(YamlNodeType::kSequence, mark, tag, anchor);
  }
  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& mark,
                  const std::string& tag,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value style) override {
    Open(YamlNodeType::kMap, mark, tag, anchor);
  }
  void OnMapEnd() override { Close(); }

 private:
  struct OpenNode {
    YamlNode node;
    // For a map: the key whose value comes next.
    std::optional<YamlNode> key;
  };

  void CheckAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != YAML::NullAnchor)
      m_faults.Add(PositionOf(mark), "anchors are not accepted");
  }

  void CheckTag(const YAML::Mark& mark, const std::string& tag) {
    // "?" marks a plain scalar or collection, "!" a quoted scalar.
    if (!tag.empty() && tag != "?" && tag != "!")
      m_faults.Add(PositionOf(mark), "tags are not accepted");
  }

  YamlNode NewNode(YamlNodeType type, const YAML::Mark& mark) {
    if (++m_node_count > kMaxYamlNodes)
      throw YAML::ParserException(mark, "too many values");
    YamlNode node;
    node.type = type;
    node.position = PositionOf(mark);
    return node;
  }

  void Open(YamlNodeType type,
            const YAML::Mark& mark,
            const std::string& tag,
            YAML::anchor_t anchor) {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    if (m_open.size() >= kMaxYamlDepth)
      throw YAML::ParserException(mark, "nested too deeply");
    m_open.push_back(OpenNode{NewNode(type, mark), std::nullopt});
  }

  void Close() {
    YamlNode node = std::move(m_open.back().node);
    m_open.pop_back();
    AddNode(std::move(node));
  }

  void AddNode(YamlNode node) {
    if (m_open.empty()) {
      m_root = std::move(node);
      return;
    }
    OpenNode& parent = m_open.back();
    if (parent.node.type == YamlNodeType::kSequence) {
      parent.node.items.push_back(std::move(node));
    } else if (!parent.key.has_value()) {
      parent.key = std::move(node);
    } else {
      parent.node.entries.push_back(
          YamlEntry{std::move(*parent.key), std::move(node)});
      parent.key.reset();
    }
  }

  YamlFaults& m_faults;
  std::vector<OpenNode> m_open;
  std::optional<YamlNode> m_root;
  std::size_t m_node_count = 0;
};

}  // namespace

std::optional<YamlNode> ParseYaml(std::string_view text, YamlFaults& faults) {
  if (text.size() > kMaxYamlBytes) {
    faults.Add({}, fmt::format("longer than {} bytes", kMaxYamlBytes));
    return std::nullopt;
  }
  std::istringstream stream{std::string(text)};
  TreeBuilder builder(faults);
  try {
    YAML::Parser parser(stream);
    if (!parser.HandleNextDocument(builder)) {
      faults.Add({}, "the text is empty");
      return std::nullopt;
    }
    std::optional<YamlNode> root = builder.TakeRoot();
    if (parser.HandleNextDocument(builder))
      faults.Add({}, "more than one document");
    return root;
  } catch (const YAML::Exception& error) {
    faults.Add(PositionOf(error.mark), error.msg);
    return std::nullopt;
  }
}

}  // namespace bulrushmount
