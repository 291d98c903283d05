// Implements `route_table.h`.

#include "core/routes/route_table.h"

#include <algorithm>
#include <utility>

namespace bulrushmount {

namespace {

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

void RouteTable::Replace(RouteConfig config) {
  std::vector<std::vector<double>> credits;
  std::unordered_map<std::string, std::vector<std::size_t>> hosts;
  for (std::size_t index = 0; index < config.routes.size(); ++index) {
    const Route& route = config.routes[index];
    credits.push_back(CurrentCredits(route));
    hosts[route.host].push_back(index);
  }
  for (auto& [host, routes] : hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [&config](std::size_t left, std::size_t right) {
                       return config.routes[left].path_prefix.size() >
                              config.routes[right].path_prefix.size();
                     });
  }
  m_services.clear();
  for (std::size_t index = 0; index < config.services.size(); ++index)
    m_services.emplace(config.services[index].name, index);
  m_credits = std::move(credits);
  m_hosts = std::move(hosts);
  m_config = std::move(config);
  m_workspaces.Replace(m_config.workspaces);
  m_is_known = true;
}

std::vector<double> RouteTable::CurrentCredits(const Route& route) const {
  const auto known = m_hosts.find(route.host);
  if (known != m_hosts.end()) {
    for (const std::size_t index : known->second) {
      const Route& before = m_config.routes[index];
      if (before.name == route.name && before.shares == route.shares)
        return m_credits[index];
    }
  }
  return std::vector<double>(route.shares.size(), 0.0);
}

std::optional<std::size_t> RouteTable::FindIndex(
    std::string_view host,
    std::string_view target) const {
  const auto found = m_hosts.find(std::string(WithoutPort(host)));
  if (found == m_hosts.end())
    return std::nullopt;
  const std::string_view path = PathOf(target);
  for (const std::size_t index : found->second) {
    if (path.starts_with(m_config.routes[index].path_prefix))
      return index;
  }
  return std::nullopt;
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view target) const {
  const std::optional<std::size_t> index = FindIndex(host, target);
  return index ? &m_config.routes[*index] : nullptr;
}

std::optional<RouteMatch> RouteTable::Match(std::string_view host,
                                            std::string_view target) {
  const Route* const route = FindRoute(host, target);
  if (!route)
    return std::nullopt;
  return RouteMatch{route, &SelectService(*route)};
}

const ServiceName& RouteTable::SelectService(const Route& route) {
  const auto index = static_cast<std::size_t>(&route - m_config.routes.data());
  return route.shares[NextShare(index)].service;
}

const ServiceProfile* RouteTable::FindService(const ServiceName& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr
                                   : &m_config.services[found->second];
}

std::size_t RouteTable::NextShare(std::size_t route) {
  const std::vector<RouteShare>& shares = m_config.routes[route].shares;
  if (shares.size() == 1)
    return 0;
  std::vector<double>& credits = m_credits[route];
  double total = 0;
  for (std::size_t index = 0; index < shares.size(); ++index) {
    credits[index] += shares[index].weight;
    total += shares[index].weight;
  }
  const auto most = std::max_element(credits.begin(), credits.end());
  *most -= total;
  return static_cast<std::size_t>(most - credits.begin());
}

}  // namespace bulrushmount
