// Part of `operator_answers.h`.

#include "core/contracts/operator_answers.h"

#include <string_view>
#include <utility>

#include <boost/json.hpp>

#include "core/contracts/config_codec.h"

namespace bulrushmount {

namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

AnswerOperator MakeAnswer(OperatorRequestId request,
                          int status,
                          const json::object& body,
                          RowVersion version = kNoRow) {
  return AnswerOperator{request, status, "application/json",
                        json::serialize(body) + "\n", version};
}

AnswerOperator MakeError(OperatorRequestId request,
                         int status,
                         std::string_view error,
                         RowVersion version = kNoRow) {
  json::object body{{"error", error}};
  if (status == kPreconditionFailed)
    body["version"] = version.value();
  return MakeAnswer(request, status, body, version);
}

AnswerOperator AnswerToCommit(OperatorRequestId request,
                              const ChangeOutcome& outcome) {
  json::object body{{"workspace", outcome.change.workspace.value()},
                    {"revision", outcome.change.revision.value()},
                    {"withdrawn", outcome.change.is_withdrawn}};
  if (outcome.version == kNoRow)
    body["note"] = "committed, and changed again since";
  else
    body["version"] = outcome.version.value();
  return MakeAnswer(request, kOk, body, outcome.version);
}

}  // namespace

AnswerOperator AnswerToFaults(OperatorRequestId request,
                              const YamlFaults& faults) {
  json::array list;
  for (const YamlFault& fault : faults.faults) {
    list.push_back(json::object{{"line", fault.position.line},
                                {"column", fault.position.column},
                                {"message", fault.message}});
  }
  return MakeAnswer(
      request, kBadRequest,
      {{"error", "the contract has faults"}, {"faults", std::move(list)}});
}

AnswerOperator AnswerToChange(OperatorRequestId request,
                              const ChangeOutcome& outcome) {
  switch (outcome.status) {
    case ChangeStatus::kCommitted:
      return AnswerToCommit(request, outcome);
    case ChangeStatus::kVersionMismatch:
      return MakeError(request, kPreconditionFailed,
                       outcome.version == kNoRow
                           ? "no such contract; create it without a version"
                           : "the contract has another version",
                       outcome.version);
    case ChangeStatus::kNotFound:
      return MakeError(request, kNotFound, "no such contract");
    case ChangeStatus::kNotWritten:
      return MakeError(request, kServiceUnavailable,
                       "the store is unavailable; nothing was written");
    case ChangeStatus::kUnknown:
      break;
  }
  return MakeError(request, kGatewayTimeout,
                   "unknown whether it was written: read back with show");
}

AnswerOperator AnswerToShow(OperatorRequestId request,
                            const TableReply& reply) {
  if (reply.status != TableStatus::kOk)
    return MakeError(request, kServiceUnavailable, "the store is unavailable");
  if (reply.rows.empty())
    return MakeError(request, kNotFound, "no such contract");
  const Row& row = reply.rows.front();
  const std::optional<ConfigChange> change = DecodeChange(row.value);
  if (!change.has_value())
    return MakeError(request, kServiceUnavailable, "the row cannot be read");
  if (change->is_withdrawn)
    return MakeError(request, kNotFound, "no such contract; it was withdrawn");
  return AnswerOperator{request, kOk, "application/yaml", change->yaml,
                        row.version};
}

AnswerOperator AnswerToList(OperatorRequestId request,
                            const TableReply& reply) {
  if (reply.status != TableStatus::kOk)
    return MakeError(request, kServiceUnavailable, "the store is unavailable");
  json::array list;
  for (const Row& row : reply.rows) {
    const std::optional<ConfigChange> change = DecodeChange(row.value);
    if (!change.has_value() || change->is_withdrawn)
      continue;
    list.push_back(json::object{{"workspace", change->workspace.value()},
                                {"version", row.version.value()},
                                {"revision", change->revision.value()}});
  }
  return MakeAnswer(request, kOk, {{"contracts", std::move(list)}});
}

AnswerOperator AnswerToOverload(OperatorRequestId request) {
  return MakeError(request, kServiceUnavailable,
                   "too many changes are in progress; nothing was written");
}

}  // namespace bulrushmount
