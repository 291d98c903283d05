// Part of `operator_server.h`.

#include "core/transport/operators/operator_server.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>

namespace bulrushmount {

namespace {

constexpr std::string_view kContracts = "/contracts";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxNameBytes = 128;

ControlReply Plain(int status, std::string body) {
  ControlReply reply;
  reply.status = status;
  reply.body = std::move(body);
  return reply;
}

// Parses `12` or `"12"`. Returns 0 for an empty text and nullopt for any other.
std::optional<RowVersion> ParseVersion(std::string_view text) {
  if (text.empty()) {
    return RowVersion(0);
  }
  if (text.size() > 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || last != end || number == 0) {
    return std::nullopt;
  }
  return RowVersion(number);
}

std::optional<OperatorVerb> ParseVerb(std::string_view method, bool has_name) {
  if (method == "GET") {
    return has_name ? OperatorVerb::kShow : OperatorVerb::kList;
  }
  if (method == "PUT" && has_name) {
    return OperatorVerb::kWrite;
  }
  if (method == "DELETE" && has_name) {
    return OperatorVerb::kWithdraw;
  }
  return std::nullopt;
}

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         name.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789._-") == std::string_view::npos;
}

}  // namespace

bool ConstantTimeEquals(std::string_view left, std::string_view right) {
  unsigned char difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t index = 0; index < left.size(); ++index) {
    const char other = right.empty() ? '\0' : right[index % right.size()];
    difference |= static_cast<unsigned char>(left[index] ^ other);
  }
  return difference == 0;
}

OperatorServer::OperatorServer(boost::asio::io_context& context,
                               std::string token,
                               EventSink& events)
    : m_server(context, *this), m_token(std::move(token)), m_events(events) {}

void OperatorServer::AddPage(const std::string& path,
                             Access access,
                             Page page) {
  AddAsyncPage(
      path, access,
      [page = std::move(page)](std::string_view, const Respond& respond) {
        respond(page());
      });
}

void OperatorServer::AddAsyncPage(const std::string& path,
                                  Access access,
                                  AsyncPage page) {
  m_pages.insert_or_assign(path, PageEntry{access, std::move(page)});
}

bool OperatorServer::IsAllowed(const ControlRequest& request) const {
  if (m_token.empty()) {
    return true;
  }
  const std::string_view given = request.authorization;
  return given.starts_with(kBearer) &&
         ConstantTimeEquals(given.substr(kBearer.size()), m_token);
}

void OperatorServer::OnRequest(const ControlRequest& request, Respond respond) {
  const std::string_view target = request.target;
  const std::size_t mark = std::min(target.find('?'), target.size());
  const std::string path(target.substr(0, mark));
  const auto page = m_pages.find(path);
  const bool is_open =
      page != m_pages.end() && page->second.access == Access::kOpen;
  if (!is_open && !IsAllowed(request)) {
    respond(Plain(401, "a bearer token is needed\n"));
    return;
  }
  if (page != m_pages.end()) {
    if (request.method != "GET") {
      ControlReply reply = Plain(405, "only GET\n");
      reply.allow = "GET";
      respond(std::move(reply));
      return;
    }
    const bool has_query = mark < target.size();
    page->second.page(has_query ? target.substr(mark + 1) : "", respond);
    return;
  }
  if (path == kContracts) {
    OnContract(request, {}, respond);
    return;
  }
  if (path.starts_with(kContracts) && path[kContracts.size()] == '/') {
    OnContract(request, std::string_view(path).substr(kContracts.size() + 1),
               respond);
    return;
  }
  respond(Plain(404, "no such page\n"));
}

void OperatorServer::OnContract(const ControlRequest& request,
                                std::string_view name,
                                const Respond& respond) {
  const bool has_name = !name.empty();
  const auto verb = ParseVerb(request.method, has_name);
  if (!verb) {
    ControlReply reply = Plain(405, "no such method here\n");
    reply.allow = has_name ? "GET, PUT, DELETE" : "GET";
    respond(std::move(reply));
    return;
  }
  if (has_name && !IsName(name)) {
    respond(Plain(400,
                  "a contract's name has letters, digits, '.', '_' and "
                  "'-' only\n"));
    return;
  }
  const auto version = ParseVersion(request.if_match);
  if (!version) {
    respond(Plain(400, "If-Match must be one version from an ETag\n"));
    return;
  }
  const OperatorRequestId id(++m_last_id);
  m_waiting.emplace(id, respond);
  m_events.Emit(OperatorRequested{id, *verb, WorkspaceName(std::string(name)),
                                  request.body, *version});
}

void OperatorServer::Do(const AnswerOperator& action) {
  const auto found = m_waiting.find(action.request);
  if (found == m_waiting.end()) {
    return;
  }
  const Respond respond = std::move(found->second);
  m_waiting.erase(found);
  ControlReply reply;
  reply.status = action.status;
  reply.content_type = action.content_type;
  reply.body = action.body;
  if (action.version != kNoRow) {
    reply.etag = fmt::format("\"{}\"", action.version);
  }
  respond(std::move(reply));
}

}  // namespace bulrushmount
