#include "gateway/knowledge.h"

#include "core/rendezvous.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace {

/// A target that has gone is remembered that long, for requests that are still on their way to it.
constexpr auto forget_after = duration{std::chrono::seconds{3}};

auto changed_life(const known_target& known, const listed_target& listed) -> bool {
    return known.view.listed.start_time_ms != listed.start_time_ms || known.view.listed.host != listed.host ||
           known.view.listed.port != listed.port;
}

auto with_life(const listed_target& listed) -> std::shared_ptr<known_target> {
    auto known = std::make_shared<known_target>();
    known->view.listed = listed;
    return known;
}

} // namespace

knowledge::knowledge(const gateway_settings& options, boost::asio::any_io_executor executor)
    : m_options{options}, m_change{executor} {}

auto knowledge::set_routes(route_table table) -> bool {
    if (table.version <= m_routes->version) {
        return false;
    }
    log::info("config_in_force", {{"version", table.version}, {"before", m_routes->version}});
    m_routes = std::make_shared<route_table>(std::move(table));
    announce();
    return true;
}

auto knowledge::put_target(const listed_target& listed, std::uint64_t revision, instant now) -> void {
    auto& known = m_targets[listed.id];
    const auto fresh = known == nullptr;
    if (!fresh && (revision < known->revision || (revision == known->revision && known->listed))) {
        known->missing_until.reset();
        return;
    }
    const auto reborn = !fresh && changed_life(*known, listed);
    if (fresh || reborn) {
        log::info("target_listed", {{"target", listed.id},
                                    {"service", listed.service},
                                    {"data_centre", listed.data_centre},
                                    {"birth", listed.start_time_ms},
                                    {"reborn", reborn}});
        known = with_life(listed);
        // One that starts again during traffic is cold, whatever its first entry says.
        const auto least = reborn ? policy(listed.service).cold_start : duration::zero();
        const auto cold = std::max(listed.cold_remaining, least);
        if (cold > duration::zero()) {
            mark_cold(known->view, cold, now);
        }
    } else {
        if (listed.cold_remaining > known->view.listed.cold_remaining) {
            mark_cold(known->view, listed.cold_remaining, now);
        }
        known->view.listed = listed;
    }
    known->listed = true;
    known->revision = revision;
    known->missing_until.reset();
    if (listed.leaving && !known->leaving_since) {
        log::info("target_leaving", {{"target", listed.id}, {"service", listed.service}, {"fresh", fresh}});
        // One that is already leaving when it is first seen may have said so long ago: its time is over.
        known->leaving_since = fresh ? now - m_options.drain : now;
    } else if (!listed.leaving) {
        known->leaving_since.reset();
    }
    announce();
}

auto knowledge::drop_target(const target_id& id, std::optional<duration> grace, instant now) -> void {
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !found->second->listed) {
        return;
    }
    auto& known = *found->second;
    if (grace) {
        if (!known.missing_until) {
            log::info("target_missing", {{"target", id}, {"wait_ms", grace->count() / 1000}});
            known.missing_until = now + *grace;
        }
        return;
    }
    log::info("target_gone", {{"target", id}, {"service", known.view.listed.service}});
    known.listed = false;
    known.view.listed.leaving = true;
    known.leaving_since = known.leaving_since.value_or(now);
    announce();
}

auto knowledge::keep_only(const std::vector<target_id>& listed, std::optional<duration> grace, instant now)
    -> void {
    auto lacking = std::vector<target_id>{};
    for (const auto& [id, known] : m_targets) {
        if (std::find(listed.begin(), listed.end(), id) == listed.end()) {
            lacking.push_back(id);
        }
    }
    for (const auto& id : lacking) {
        drop_target(id, grace, now);
    }
}

auto knowledge::sweep(instant now) -> void {
    auto lapsed = std::vector<target_id>{};
    for (const auto& [id, known] : m_targets) {
        if (known->missing_until && now >= *known->missing_until) {
            lapsed.push_back(id);
        }
    }
    for (const auto& id : lapsed) {
        m_targets.at(id)->missing_until.reset();
        drop_target(id, std::nullopt, now);
    }
    const auto erased = std::erase_if(m_targets, [now](const auto& entry) {
        const auto& known = *entry.second;
        return !known.listed && now - known.leaving_since.value_or(now) > forget_after;
    });
    if (erased > 0) {
        m_candidates_valid = false;
    }
}

auto knowledge::target(const target_id& id) const -> std::shared_ptr<known_target> {
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second;
}

auto knowledge::candidates(const service_id& service) -> const std::vector<target_view*>& {
    if (!m_candidates_valid) {
        m_candidates.clear();
        for (const auto& [id, known] : m_targets) {
            const auto& listed = known->view.listed;
            if (!listed.leaving && !m_taken_out.contains(listed.data_centre)) {
                m_candidates[listed.service].push_back(&known->view);
            }
        }
        m_candidates_valid = true;
    }
    return m_candidates[service];
}

auto knowledge::policy(const service_id& service) const -> service_policy {
    const auto found = m_routes->services.find(service);
    return found == m_routes->services.end() ? service_policy{} : found->second;
}

auto knowledge::taken_out_since(const data_centre_id& data_centre) const -> std::optional<instant> {
    const auto found = m_taken_out.find(data_centre);
    return found == m_taken_out.end() ? std::nullopt : std::optional{found->second};
}

auto knowledge::take_out(const data_centre_id& data_centre, instant now) -> void {
    if (m_taken_out.emplace(data_centre, now).second) {
        log::info("data_centre_out", {{"data_centre", data_centre}});
        announce();
    }
}

auto knowledge::bring_back(const data_centre_id& data_centre, instant now) -> void {
    if (m_taken_out.erase(data_centre) == 0) {
        return;
    }
    log::info("data_centre_in", {{"data_centre", data_centre}});
    for (const auto& [id, known] : m_targets) {
        if (known->view.listed.data_centre == data_centre) {
            // Its targets have idled, and may have become cold without saying so.
            mark_cold(known->view, policy(known->view.listed.service).cold_start, now);
        }
    }
    announce();
}

auto knowledge::keys(const service_id& service) const -> std::shared_ptr<const key_map> {
    const auto found = m_keys.find(service);
    return found == m_keys.end() ? nullptr : found->second;
}

auto knowledge::set_keys(const service_id& service, key_map map) -> void {
    auto& known = m_keys[service];
    if (known != nullptr && known->revision >= map.revision) {
        return;
    }
    known = std::make_shared<key_map>(std::move(map));
    announce();
}

auto knowledge::announce() -> void {
    m_candidates_valid = false;
    m_change.notify();
}

auto knowledge::strongest(std::string_view purpose) const -> std::vector<instance_record> {
    auto sorted = m_instances;
    const auto item = hash_text(purpose);
    std::sort(sorted.begin(), sorted.end(), [item](const auto& left, const auto& right) {
        if (left.processor != right.processor) {
            return left.processor > right.processor;
        }
        return rendezvous_weight(item, left.name) > rendezvous_weight(item, right.name);
    });
    return sorted;
}

auto knowledge::fleet_size() const -> std::size_t {
    return std::max<std::size_t>(m_instances.size(), 1);
}

auto knowledge::cold_share_of(const target_id& id, double rate) const -> cold_rate_limit {
    constexpr auto reserve = 0.8;    // Seconds of different instances don't coincide.
    constexpr auto sends_each = 2.0; // The least an instance needs a second to be of use to a cold target.
    const auto limit = reserve * (rate * m_options.cold_overage + m_options.cold_slack);
    const auto senders = std::max(1.0, std::floor(limit / sends_each));
    const auto item = hash_text(id.value());
    const auto own = rendezvous_weight(item, m_options.instance);
    const auto ahead = std::count_if(m_instances.begin(), m_instances.end(), [&](const auto& each) {
        return each.name != m_options.instance && rendezvous_weight(item, each.name) > own;
    });
    if (static_cast<double>(ahead) >= senders) {
        return {.rate = 0, .burst = 0};
    }
    const auto sharing = std::min(senders, static_cast<double>(fleet_size()));
    return {.rate = (limit - sharing) / sharing, .burst = 1};
}

} // namespace teaselcross
