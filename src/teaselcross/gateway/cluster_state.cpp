#include "gateway/cluster_state.h"

#include "core/rendezvous.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

namespace {

/// How long after a restore the list of instances may be incomplete: one that the store refuses registers
/// again only when it is served.
constexpr auto registration_time = duration{std::chrono::minutes{1}};
/// How long a removed target is kept, for requests that are still in flight to it.
constexpr auto removed_target_retention = duration{std::chrono::seconds{3}};
/// How long it is remembered that a target said that it is leaving: far longer than a drain takes, and longer
/// than an old entry can reappear after an outage of the store.
constexpr auto leaving_retention = duration{std::chrono::minutes{10}};

auto is_new_incarnation(const known_target& known, const listed_target& listed) -> bool {
    return known.view.listed.start_time_ms != listed.start_time_ms || known.view.listed.host != listed.host ||
           known.view.listed.port != listed.port;
}

auto make_known_target(const listed_target& listed) -> std::shared_ptr<known_target> {
    auto known = std::make_shared<known_target>();
    known->view.listed = listed;
    return known;
}

} // namespace

cluster_state::cluster_state(const gateway_settings& settings, boost::asio::any_io_executor executor)
    : m_settings{settings}, m_change{executor} {}

auto cluster_state::set_routes(route_table table) -> bool {
    if (table.version <= m_routes->version) {
        return false;
    }
    log::info("config_in_force", {{"version", table.version}, {"before", m_routes->version}});
    m_routes = std::make_shared<route_table>(std::move(table));
    notify_change();
    return true;
}

auto cluster_state::note_era(std::uint64_t era, instant now) -> void {
    if (era <= m_era) {
        return;
    }
    const auto is_first_answer = m_era == 0;
    if (!is_first_answer || era > first_store_era) {
        const auto known = is_first_answer ? std::nullopt : quorum_fleet(now);
        m_fleet_before_restore = known.value_or(0);
        m_registration_end = now + registration_time;
    }
    if (!is_first_answer) {
        m_restore_grace_end = now + m_settings.outage_grace;
        log::info("restore_grace", {{"era", era}, {"ms", m_settings.outage_grace.count() / 1000}});
    }
    m_era = era;
}

/// How @a listed relates to what is known of the target by its own order: its start, then its sequence
/// number.
auto cluster_state::compare_description(const listed_target& listed) const -> description_age {
    const auto found = m_targets.find(listed.id);
    const auto departed = m_departed.find(listed.id);
    if (found == m_targets.end() && departed == m_departed.end()) {
        return description_age::present;
    }
    const auto& known = found != m_targets.end() ? found->second->view.listed : departed->second.listed;
    if (listed.start_time_ms != known.start_time_ms) {
        return listed.start_time_ms < known.start_time_ms ? description_age::earlier_process
                                                          : description_age::present;
    }
    const auto undoes_departure = known.leaving && !listed.leaving;
    const auto is_earlier =
        listed.sequence < known.sequence || (listed.sequence == known.sequence && undoes_departure);
    return is_earlier ? description_age::earlier : description_age::present;
}

/// Applies what was held back, once the grace after a restore is over.
auto cluster_state::apply_held_back(instant now) -> void {
    if (is_within_restore_grace(now)) {
        return;
    }
    for (const auto& [id, entry] : std::exchange(m_held_back_targets, {})) {
        put_target(entry.listed, entry.revision, now, entry.not_before);
    }
    for (const auto& data_centre : std::exchange(m_held_back_returns, {})) {
        return_to_service(data_centre, now);
    }
    for (const auto& name : std::exchange(m_held_back_removals, {})) {
        remove_instance(name, now);
    }
}

/// Records that a target that was in use is leaving, or was removed.
auto cluster_state::begin_leaving(known_target& known, instant not_before, instant now) -> void {
    if (known.leaving_since) {
        return;
    }
    known.leaving_since = now;
    known.leaving_not_before = std::clamp(not_before, now - m_settings.drain, now);
}

auto cluster_state::put_target(const listed_target& listed, const store_revision& revision, instant now,
                               instant not_before) -> void {
    const auto age = compare_description(listed);
    if (is_within_restore_grace(now) && age != description_age::present) {
        log::info("target_entry_held_back",
                  {{"target", listed.id}, {"birth", listed.start_time_ms}, {"sequence", listed.sequence}});
        if (age == description_age::earlier) {
            m_held_back_targets[listed.id] = {
                .listed = listed, .revision = revision, .not_before = not_before};
        }
        return;
    }
    m_held_back_targets.erase(listed.id);
    m_departed.erase(listed.id);
    auto& known = m_targets[listed.id];
    const auto is_new = known == nullptr;
    if (!is_new && (revision < known->revision || (revision == known->revision && known->listed))) {
        known->missing_until.reset();
        return;
    }
    const auto restarted = !is_new && is_new_incarnation(*known, listed);
    if (is_new || restarted) {
        log::info("target_listed", {{"target", listed.id},
                                    {"service", listed.service},
                                    {"data_centre", listed.data_centre},
                                    {"birth", listed.start_time_ms},
                                    {"reborn", restarted}});
        known = make_known_target(listed);
        // A target that restarts during traffic is treated as cold, whatever its first entry says.
        const auto least = restarted ? policy(listed.service).cold_start : duration::zero();
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
    const auto said = m_leaving.find(listed.id);
    if (said != m_leaving.end() && said->second.first == listed.start_time_ms) {
        known->view.listed.leaving = true;
        known->leaving_since = known->leaving_since.value_or(said->second.second);
        notify_change();
        return;
    }
    if (listed.leaving && !known->leaving_since) {
        begin_leaving(*known, not_before, now);
        // A target that is already leaving when first seen may have started to leave long ago, so its drain
        // time counts as over.
        known->leaving_since = is_new ? now - m_settings.drain : now;
        log::info("target_leaving", {{"target", listed.id},
                                     {"service", listed.service},
                                     {"fresh", is_new},
                                     {"revision", to_string(revision)},
                                     {"age_at_most_ms", (now - known->leaving_not_before).count() / 1000}});
    } else if (!listed.leaving) {
        known->leaving_since.reset();
    }
    notify_change();
}

auto cluster_state::set_leaving(const leaving_notice& notice, std::string_view source, instant now) -> void {
    const auto said = m_leaving.find(notice.target);
    if (said != m_leaving.end() && said->second.first >= notice.start_time_ms) {
        return;
    }
    m_leaving[notice.target] = {notice.start_time_ms, now};
    const auto found = m_targets.find(notice.target);
    const auto is_known =
        found != m_targets.end() && found->second->view.listed.start_time_ms == notice.start_time_ms;
    log::info("target_leaving", {{"target", notice.target},
                                 {"birth", notice.start_time_ms},
                                 {"source", source},
                                 {"known", is_known}});
    if (is_known) {
        auto& known = *found->second;
        known.view.listed.leaving = true;
        begin_leaving(known, now, now);
        notify_change();
    }
}

auto cluster_state::leaving_notices() const -> std::vector<leaving_notice> {
    auto notices = std::vector<leaving_notice>{};
    for (const auto& [id, said] : m_leaving) {
        if (m_targets.contains(id)) {
            notices.push_back({.target = id, .start_time_ms = said.first});
        }
    }
    return notices;
}

auto cluster_state::remove_target(const target_id& id, std::optional<duration> grace, instant now,
                                  instant not_before) -> void {
    m_held_back_targets.erase(id);
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !found->second->listed) {
        return;
    }
    auto& known = *found->second;
    if (grace) {
        if (!known.missing_until) {
            log::info("target_missing", {{"target", id}, {"wait_ms", grace->count() / 1000}});
            known.missing_until = now + *grace;
            known.missing_not_before = not_before;
        }
        return;
    }
    log::info("target_gone", {{"target", id}, {"service", known.view.listed.service}});
    known.listed = false;
    known.view.listed.leaving = true;
    begin_leaving(known, not_before, now);
    m_departed[id] = {.listed = known.view.listed, .since = now};
    notify_change();
}

auto cluster_state::remove_expired(instant now) -> void {
    apply_held_back(now);
    auto expired = std::vector<target_id>{};
    for (const auto& [id, known] : m_targets) {
        if (known->missing_until && now >= *known->missing_until) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        m_targets.at(id)->missing_until.reset();
        remove_target(id, std::nullopt, now, m_targets.at(id)->missing_not_before);
    }
    std::erase_if(m_leaving,
                  [now](const auto& entry) { return now - entry.second.second > leaving_retention; });
    std::erase_if(m_departed,
                  [now](const auto& entry) { return now - entry.second.since > leaving_retention; });
    const auto erased = std::erase_if(m_targets, [now](const auto& entry) {
        const auto& known = *entry.second;
        return !known.listed && now >= known.view.quiet_until &&
               now - known.leaving_since.value_or(now) > removed_target_retention;
    });
    if (erased > 0) {
        m_candidates_valid = false;
    }
}

auto cluster_state::target(const target_id& id) const -> std::shared_ptr<known_target> {
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second;
}

auto cluster_state::last_address(const target_incarnation& incarnation) const -> std::optional<endpoint> {
    const auto present = m_targets.find(incarnation.id);
    const auto departed = m_departed.find(incarnation.id);
    const auto* listed = present != m_targets.end()     ? &present->second->view.listed
                         : departed != m_departed.end() ? &departed->second.listed
                                                        : nullptr;
    if (listed == nullptr || listed->start_time_ms != incarnation.start_time_ms) {
        return std::nullopt;
    }
    const auto is_reused = std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& entry) {
        const auto& other = entry.second->view.listed;
        return entry.first != incarnation.id && entry.second->listed && other.host == listed->host &&
               other.port == listed->port;
    });
    return is_reused ? std::nullopt : std::optional{endpoint{.host = listed->host, .port = listed->port}};
}

auto cluster_state::candidates(const service_id& service) -> const std::vector<target_view*>& {
    if (!m_candidates_valid) {
        m_candidates.clear();
        for (const auto& [id, known] : m_targets) {
            const auto& listed = known->view.listed;
            if (!listed.leaving && !m_out_of_service.contains(listed.data_centre)) {
                m_candidates[listed.service].push_back(&known->view);
            }
        }
        m_candidates_valid = true;
    }
    return m_candidates[service];
}

auto cluster_state::policy(const service_id& service) const -> service_policy {
    const auto found = m_routes->services.find(service);
    return found == m_routes->services.end() ? service_policy{} : found->second;
}

auto cluster_state::out_of_service_since(const data_centre_id& data_centre) const -> std::optional<instant> {
    const auto found = m_out_of_service.find(data_centre);
    return found == m_out_of_service.end() ? std::nullopt : std::optional{found->second};
}

auto cluster_state::take_out_of_service(const data_centre_id& data_centre, const store_revision& revision,
                                        instant not_before, instant now) -> void {
    m_held_back_returns.erase(data_centre);
    const auto since = std::clamp(not_before, now - m_settings.evacuation, now);
    if (m_out_of_service.emplace(data_centre, since).second) {
        log::info("data_centre_out", {{"data_centre", data_centre},
                                      {"revision", to_string(revision)},
                                      {"age_at_most_ms", (now - since).count() / 1000}});
        notify_change();
    }
}

auto cluster_state::return_to_service(const data_centre_id& data_centre, instant now) -> void {
    const auto found = m_out_of_service.find(data_centre);
    if (found == m_out_of_service.end()) {
        return;
    }
    if (is_within_restore_grace(now)) {
        m_held_back_returns.insert(data_centre);
        return;
    }
    log::info("data_centre_in",
              {{"data_centre", data_centre}, {"out_ms", (now - found->second).count() / 1000}});
    m_out_of_service.erase(found);
    for (const auto& [id, known] : m_targets) {
        if (known->view.listed.data_centre == data_centre) {
            // Its targets were idle and may have become cold without reporting it.
            mark_cold(known->view, policy(known->view.listed.service).cold_start, now);
        }
    }
    notify_change();
}

auto cluster_state::keys(const service_id& service) const -> std::shared_ptr<const key_map> {
    const auto found = m_keys.find(service);
    return found == m_keys.end() ? nullptr : found->second;
}

auto cluster_state::set_keys(const service_id& service, key_map map) -> void {
    auto& known = m_keys[service];
    if (known != nullptr && recorded_at(*known) >= recorded_at(map)) {
        return;
    }
    known = std::make_shared<key_map>(std::move(map));
    notify_change();
}

auto cluster_state::notify_change() -> void {
    m_candidates_valid = false;
    m_change.notify();
}

instance_ranking::instance_ranking(std::string_view purpose) : m_item{hash_text(purpose)} {}

auto instance_ranking::operator()(const instance_record& left, const instance_record& right) const -> bool {
    if (left.cpu_share != right.cpu_share) {
        return left.cpu_share > right.cpu_share;
    }
    return rendezvous_weight(m_item, left.name) > rendezvous_weight(m_item, right.name);
}

auto cluster_state::put_instance(instance_record instance) -> void {
    m_held_back_removals.erase(instance.name);
    const auto found = std::find_if(m_instances.begin(), m_instances.end(),
                                    [&](const auto& each) { return each.name == instance.name; });
    if (found == m_instances.end()) {
        m_instances.push_back(std::move(instance));
    } else {
        *found = std::move(instance);
    }
}

auto cluster_state::remove_instance(const std::string& name, instant now) -> void {
    if (is_within_restore_grace(now)) {
        m_held_back_removals.insert(name);
        return;
    }
    std::erase_if(m_instances, [&name](const auto& each) { return each.name == name; });
}

auto cluster_state::rank_of_this_instance(std::string_view purpose) const -> std::size_t {
    const auto own = std::find_if(m_instances.begin(), m_instances.end(),
                                  [this](const auto& each) { return each.name == m_settings.instance; });
    if (own == m_instances.end()) {
        return m_instances.size();
    }
    const auto ranking = instance_ranking{purpose};
    return static_cast<std::size_t>(std::count_if(m_instances.begin(), m_instances.end(),
                                                  [&](const auto& each) { return ranking(each, *own); }));
}

auto cluster_state::strong_instances() const -> std::size_t {
    auto strongest = 0.0;
    for (const auto& each : m_instances) {
        strongest = std::max(strongest, each.cpu_share);
    }
    return static_cast<std::size_t>(
        std::count_if(m_instances.begin(), m_instances.end(),
                      [&](const auto& each) { return each.cpu_share >= strongest / 2; }));
}

auto cluster_state::fleet_size() const -> std::size_t {
    return std::max<std::size_t>(m_instances.size(), 1);
}

auto cluster_state::quorum_fleet(instant now) const -> std::optional<std::size_t> {
    if (now >= m_registration_end) {
        return fleet_size();
    }
    return m_fleet_before_restore == 0 ? std::nullopt
                                       : std::optional{std::max(fleet_size(), m_fleet_before_restore)};
}

auto cluster_state::cold_share_of(const target_id& id, double rate) const -> cold_rate_limit {
    // Leaves a reserve, because the one-second windows of different instances are not aligned.
    constexpr auto usable_fraction = 0.8;
    // An instance needs at least this many requests per second to make use of a cold target.
    constexpr auto min_sends_per_instance = 2.0;
    const auto limit = usable_fraction * (rate * m_settings.cold_overage + m_settings.cold_slack);
    const auto senders = std::max(1.0, std::floor(limit / min_sends_per_instance));
    const auto item = hash_text(id.value());
    const auto own = rendezvous_weight(item, m_settings.instance);
    const auto ahead = std::count_if(m_instances.begin(), m_instances.end(), [&](const auto& each) {
        return each.name != m_settings.instance && rendezvous_weight(item, each.name) > own;
    });
    if (static_cast<double>(ahead) >= senders) {
        return {.rate = 0, .burst = 0};
    }
    const auto sharing = std::min(senders, static_cast<double>(fleet_size()));
    return {.rate = (limit - sharing) / sharing, .burst = 1};
}

auto can_route(const cluster_state& cluster) -> bool {
    const auto routes = cluster.routes();
    return routes->version != 0 &&
           std::all_of(routes->services.begin(), routes->services.end(), [&cluster](const auto& each) {
               return !each.second.keyed || cluster.keys(each.first) != nullptr;
           });
}

} // namespace teaselcross
