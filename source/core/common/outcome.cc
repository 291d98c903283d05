// Part of `outcome.h`.

#include "core/common/outcome.h"

#include <array>
#include <cstddef>

namespace bulrushmount {

namespace {

using std::chrono_literals::operator""s;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kBodyTooLargeStatus = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kHeadTooLargeStatus = 431;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// In the order of `Reason`.
constexpr std::array kTraits = {
    ReasonTraits{"none", 200, std::nullopt},
    ReasonTraits{"malformed-request", kBadRequest, std::nullopt},
    ReasonTraits{"head-too-large", kHeadTooLargeStatus, std::nullopt},
    ReasonTraits{"unknown-workspace", kForbidden, std::nullopt},
    ReasonTraits{"unknown-service", kNotFound, std::nullopt},
    ReasonTraits{"unknown-kind", kNotFound, std::nullopt},
    ReasonTraits{"idempotency-key-required", kBadRequest, std::nullopt},
    ReasonTraits{"idempotency-key-reused", kUnprocessable, std::nullopt},
    ReasonTraits{"workspace-rate-limit", kTooManyRequests, 1s},
    ReasonTraits{"workspace-in-flight-limit", kTooManyRequests, 1s},
    ReasonTraits{"no-target", kUnavailable, 2s},
    ReasonTraits{"overloaded", kUnavailable, 1s},
    ReasonTraits{"deadline-too-short", kUnavailable, 1s},
    ReasonTraits{"draining", kUnavailable, 1s},
    ReasonTraits{"shed", kUnavailable, 1s},
    ReasonTraits{"connect-failed", kUnavailable, 1s},
    ReasonTraits{"quarantined", kUnavailable, 60s},
    ReasonTraits{"store-unavailable", kUnavailable, 5s},
    ReasonTraits{"configuration-unknown", kUnavailable, 2s},
    ReasonTraits{"node-unreachable", kUnavailable, 1s},
    ReasonTraits{"retry-budget-spent", kUnavailable, 2s},
    ReasonTraits{"in-progress", kConflict, 1s},
    ReasonTraits{"earlier-outcome-unknown", kConflict, std::nullopt},
    ReasonTraits{"target-lost", kBadGateway, std::nullopt},
    ReasonTraits{"node-lost", kBadGateway, std::nullopt},
    ReasonTraits{"deadline-exceeded", kGatewayTimeout, std::nullopt},
    ReasonTraits{"stalled", kGatewayTimeout, std::nullopt},
    ReasonTraits{"caller-gone", kBadGateway, std::nullopt},
    ReasonTraits{"shutdown-forced", kBadGateway, std::nullopt},
    ReasonTraits{"suspect", kUnavailable, 1s},
    ReasonTraits{"no-route", kNotFound, std::nullopt},
    ReasonTraits{"body-too-large", kBodyTooLargeStatus, std::nullopt},
    ReasonTraits{"request-too-slow", kRequestTimeout, std::nullopt},
    ReasonTraits{"slow-target", kUnavailable, 1s},
    ReasonTraits{"wrong-target", kUnavailable, 1s},
    ReasonTraits{"throttled", kUnavailable, 1s},
    ReasonTraits{"evacuated", kUnavailable, 1s},
    ReasonTraits{"target-rate-limit", kUnavailable, 1s},
    ReasonTraits{"unknown-key", kUnauthorized, std::nullopt},
    ReasonTraits{"target-crashed", kBadGateway, std::nullopt},
};

static_assert(kTraits.size() == static_cast<std::size_t>(kLastReason) + 1);

}  // namespace

const ReasonTraits& TraitsOf(Reason reason) {
  return kTraits.at(static_cast<std::size_t>(reason));
}

std::string_view ToToken(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::optional<Reason> ReasonFromToken(std::string_view token) {
  for (std::size_t index = 0; index < kTraits.size(); ++index) {
    if (kTraits[index].token == token)
      return static_cast<Reason>(index);
  }
  return std::nullopt;
}

}  // namespace bulrushmount
