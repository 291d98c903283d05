// Compares the routing table with a linear search of all routes, and tests the
// weighted round robin over the shares of a route.

#include "core/routes/route_table.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix,
                std::vector<RouteShare> shares) {
  Route route;
  route.name = KindName(name);
  route.host = host;
  route.path_prefix = prefix;
  route.shares = std::move(shares);
  return route;
}

RouteShare ShareOf(const std::string& service, double weight = 1) {
  return {ServiceName(service), weight};
}

RouteConfig ExampleConfig() {
  RouteConfig config;
  config.routes = {
      MakeRoute("all", "a.example", "/", {ShareOf("one")}),
      MakeRoute("books", "a.example", "/books/", {ShareOf("two")}),
      MakeRoute("old-books", "a.example", "/books/old/", {ShareOf("three")}),
      MakeRoute("other", "b.example", "/books/", {ShareOf("four")}),
  };
  config.services = {{ServiceName("one"), "/health", 5}};
  return config;
}

struct MatchCase {
  const char* name;
  const char* host;
  const char* target;
  // Null: no route.
  const char* route;
};

class RouteMatchTest : public testing::TestWithParam<MatchCase> {};

TEST_P(RouteMatchTest, FindsTheLongestPrefixOfTheHost) {
  RouteTable table;
  table.Replace(ExampleConfig());
  const auto match = table.Match(GetParam().host, GetParam().target);
  if (GetParam().route == nullptr) {
    EXPECT_FALSE(match);
    return;
  }
  ASSERT_TRUE(match);
  EXPECT_EQ(match->route->name.value(), GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    RouteMatchTest,
    testing::Values(
        MatchCase{"Root", "a.example", "/x", "all"},
        MatchCase{"Longer", "a.example", "/books/7", "books"},
        MatchCase{"Longest", "a.example", "/books/old/7", "old-books"},
        MatchCase{"PrefixItself", "a.example", "/books/", "books"},
        MatchCase{"WithoutSlash", "a.example", "/books", "all"},
        MatchCase{"QueryIsNoPath", "a.example", "/x?/books/", "all"},
        MatchCase{"HostWithPort", "a.example:8080", "/books/7", "books"},
        MatchCase{"OtherHost", "b.example", "/books/7", "other"},
        MatchCase{"NoPrefix", "b.example", "/x", nullptr},
        MatchCase{"UnknownHost", "c.example", "/books/7", nullptr}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RouteTableTest, IsUnknownBeforeTheFirstDocument) {
  RouteTable table;
  EXPECT_FALSE(table.is_known());
  EXPECT_FALSE(table.Match("a.example", "/"));
  table.Replace(RouteConfig());
  EXPECT_TRUE(table.is_known());
}

TEST(RouteTableTest, FindsServicesByName) {
  RouteTable table;
  table.Replace(ExampleConfig());
  ASSERT_NE(table.FindService(ServiceName("one")), nullptr);
  EXPECT_EQ(table.FindService(ServiceName("one"))->max_connections, 5U);
  EXPECT_EQ(table.FindService(ServiceName("nobody")), nullptr);
}

RC_GTEST_PROP(RouteTableProperty, AgreesWithALinearSearch, ()) {
  const std::array<std::string, 2> hosts = {"a", "b"};
  const std::array<std::string, 6> prefixes = {"/",       "/p/", "/p/q/",
                                               "/p/q/r/", "/q/", "/pp/"};
  RouteConfig config;
  for (const std::string& host : hosts) {
    for (const std::string& prefix : prefixes) {
      if (*rc::gen::arbitrary<bool>())
        config.routes.push_back(
            MakeRoute(host + prefix, host, prefix, {ShareOf("s")}));
    }
  }
  RouteTable table;
  table.Replace(config);
  const std::string host = *rc::gen::elementOf(hosts);
  const std::string path = *rc::gen::elementOf(std::vector<std::string>{
      "/", "/p/x", "/p/q/x", "/p/q/r/x", "/pp/", "/z"});
  const Route* naive = nullptr;
  for (const Route& route : config.routes) {
    const bool is_longer =
        !naive || route.path_prefix.size() > naive->path_prefix.size();
    if (route.host == host && path.starts_with(route.path_prefix) && is_longer)
      naive = &route;
  }
  const auto match = table.Match(host, path);
  RC_ASSERT(match.has_value() == (naive != nullptr));
  if (match)
    RC_ASSERT(*match->route == *naive);
}

// Failure: a service with a tenth of the weight gets a fifth of the requests.
// With few requests, a random selection deviates from the weights by the square
// root of their number.
TEST(RouteTableTest, SharesStayWithinOneRequestOfTheirWeights) {
  RouteConfig config;
  config.routes = {
      MakeRoute("split", "a", "/", {ShareOf("big", 90), ShareOf("small", 10)})};
  RouteTable table;
  table.Replace(config);
  double small = 0;
  for (int requests = 1; requests <= 300; ++requests) {
    if (table.Match("a", "/")->service->value() == "small")
      small += 1;
    EXPECT_NEAR(small, requests * 0.1, 1.0);
  }
}

TEST(RouteTableTest, ANewDocumentKeepsTheRoundRobinStateOfAnUnchangedRoute) {
  RouteConfig config;
  config.routes = {
      MakeRoute("split", "a", "/", {ShareOf("x", 1), ShareOf("y", 1)})};
  RouteTable table;
  std::map<std::string, int> counts;
  // If the round-robin state were reset, each document would assign its first
  // request to the same share.
  for (int document = 0; document < 20; ++document) {
    table.Replace(config);
    ++counts[table.Match("a", "/")->service->value()];
  }
  EXPECT_EQ(counts["x"], 10);
  EXPECT_EQ(counts["y"], 10);
}

}  // namespace
}  // namespace bulrushmount
