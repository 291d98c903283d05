// Part of `route_table.h`.

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
  std::unordered_map<std::string, HostRoutes> hosts;
  for (std::size_t index = 0; index < config.routes.size(); ++index) {
    const Route& route = config.routes[index];
    Entry entry{index, std::vector<double>(route.shares.size(), 0.0)};
    const auto known = m_hosts.find(route.host);
    if (known != m_hosts.end()) {
      for (const Entry& before : known->second.entries) {
        const Route& old = m_config.routes[before.route];
        if (old.name == route.name && old.shares == route.shares)
          entry.owed = before.owed;
      }
    }
    hosts[route.host].entries.push_back(std::move(entry));
  }
  for (auto& [host, routes] : hosts) {
    std::stable_sort(routes.entries.begin(), routes.entries.end(),
                     [&config](const Entry& left, const Entry& right) {
                       return config.routes[left.route].path_prefix.size() >
                              config.routes[right.route].path_prefix.size();
                     });
  }
  m_services.clear();
  for (std::size_t index = 0; index < config.services.size(); ++index)
    m_services.emplace(config.services[index].name, index);
  m_hosts = std::move(hosts);
  m_config = std::move(config);
  m_is_known = true;
}

std::optional<RouteMatch> RouteTable::Match(std::string_view host,
                                            std::string_view target) {
  const auto found = m_hosts.find(std::string(WithoutPort(host)));
  if (found == m_hosts.end())
    return std::nullopt;
  const std::string_view path = PathOf(target);
  for (Entry& entry : found->second.entries) {
    const Route& route = m_config.routes[entry.route];
    if (!path.starts_with(route.path_prefix))
      continue;
    return RouteMatch{&route, &route.shares[NextShare(entry)].service};
  }
  return std::nullopt;
}

const ServiceProfile* RouteTable::FindService(const ServiceName& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr
                                   : &m_config.services[found->second];
}

std::size_t RouteTable::NextShare(Entry& entry) const {
  const std::vector<RouteShare>& shares = m_config.routes[entry.route].shares;
  if (shares.size() == 1)
    return 0;
  double total = 0;
  for (std::size_t index = 0; index < shares.size(); ++index) {
    entry.owed[index] += shares[index].weight;
    total += shares[index].weight;
  }
  const auto most = std::max_element(entry.owed.begin(), entry.owed.end());
  *most -= total;
  return static_cast<std::size_t>(most - entry.owed.begin());
}

}  // namespace bulrushmount
