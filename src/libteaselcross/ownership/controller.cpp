#include "ownership/controller.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto recent_report(const controller& state, const target_id& target, instant now) -> const target_report* {
    const auto found = state.reports.find(target);
    if (found == state.reports.end() || now - found->second.received > state.options.report_lifetime) {
        return nullptr;
    }
    return &found->second.report;
}

auto can_own(const controller_view& view, const target_id& id, const target_description& target) -> bool {
    const auto is_drained_locally = view.local_draining != nullptr && view.local_draining->contains(id);
    return view.config->is_in_service(target) && !is_drained_locally;
}

/// The owners of all shards of a service according to the known partitions; empty for shards without an
/// owner. A releasing shard counts as unowned, so that the placement does not move it back to its last owner.
auto owners_of(const controller_view& view, const service_id& service, std::uint32_t shard_count)
    -> std::vector<target_id> {
    auto owners = std::vector<target_id>(shard_count);
    for (auto index = 0U; index < partition_count(shard_count); ++index) {
        const auto found = view.partitions->find({service, index});
        if (found == view.partitions->end()) {
            continue;
        }
        const auto& object = found->second.object;
        for (std::size_t position = 0; position < object.shards.size(); ++position) {
            const auto& record = object.shards[position];
            if (record.state == shard_state::owned) {
                owners.at(number(object.shard_at(position))) = record.owner;
            }
        }
    }
    return owners;
}

/// Raises the capacity of a target in steps after its start, each once its warmth has reached the last step.
auto ramp_capacity(controller& state, const target_id& target, const target_report& report, bool owns_any,
                   instant now) -> double {
    auto [found, is_new] = state.ramps.try_emplace(target);
    auto& ramp = found->second;
    if (is_new) {
        // After a takeover most targets are already warm; only a target without shards counts as new.
        ramp = {.capacity = owns_any ? 1.0 : state.options.ramp_start,
                .since = now,
                .incarnation = report.incarnation};
    } else if (ramp.incarnation != report.incarnation) {
        ramp = {.capacity = state.options.ramp_start, .since = now, .incarnation = report.incarnation};
    } else if (ramp.capacity < 1 && now - ramp.since >= state.options.ramp_interval &&
               report.warmth >= ramp.capacity) {
        ramp.capacity = std::min(1.0, ramp.capacity + state.options.ramp_step);
        ramp.since = now;
    }
    return ramp.capacity;
}

auto placement_targets(controller& state, const controller_view& view, const service_id& service,
                       const std::vector<target_id>& owners, instant now) -> std::vector<placement_target> {
    auto chosen = std::vector<placement_target>{};
    for (const auto& [id, target] : view.config->targets) {
        if (target.service != service || !can_own(view, id, target)) {
            continue;
        }
        const auto owns_any = std::find(owners.begin(), owners.end(), id) != owners.end();
        const auto* const report = recent_report(state, id, now);
        if (report == nullptr || report->phase == target_phase::unknown) {
            // Its state is unknown, so it keeps its shards and receives no more.
            if (owns_any) {
                chosen.push_back({.id = id, .capacity = 1, .accepts = false});
            }
        } else if (report->phase == target_phase::live) {
            const auto capacity = ramp_capacity(state, id, *report, owns_any, now);
            chosen.push_back({.id = id, .capacity = capacity, .accepts = true});
        }
    }
    // When all targets are new, none of them can take the load during a ramp.
    const auto all_new =
        std::all_of(owners.begin(), owners.end(), [](const auto& owner) { return owner.empty(); });
    if (all_new) {
        for (auto& each : chosen) {
            each.capacity = 1;
            state.ramps[each.id].capacity = 1;
        }
    }
    return chosen;
}

/// Whether @a owner has to release the shard for another reason than balance.
auto must_release(const std::vector<placement_target>& targets, const target_id& owner) -> bool {
    return std::none_of(targets.begin(), targets.end(), [&](const auto& each) { return each.id == owner; });
}

auto refill_rebalance_tokens(controller& state, instant now) -> void {
    const auto elapsed = std::chrono::duration<double>(now - state.rebalance_refilled_at).count();
    const auto rate = static_cast<double>(state.options.max_rebalances_per_second);
    state.rebalance_tokens = std::min(rate, state.rebalance_tokens + elapsed * rate);
    state.rebalance_refilled_at = now;
}

/// Whether to wait for more targets before a service is placed for the first time.
auto must_wait_for_targets(controller& state, const controller_view& view, const service_id& service,
                           const std::vector<target_id>& owners, instant now) -> bool {
    const auto placed =
        std::any_of(owners.begin(), owners.end(), [](const auto& owner) { return !owner.empty(); });
    if (placed) {
        state.unplaced_since.erase(service);
        return false;
    }
    const auto since = state.unplaced_since.try_emplace(service, now).first->second;
    const auto all_answer =
        std::all_of(view.config->targets.begin(), view.config->targets.end(), [&](const auto& each) {
            const auto& [id, target] = each;
            return target.service != service || !can_own(view, id, target) ||
                   has_reported_phase(state, id, target_phase::live, now);
        });
    return !all_answer && now - since < state.options.first_placement_wait;
}

/// The wanted owners of all shards of a service; moves made only for balance are rate limited.
auto wanted_owners(controller& state, const controller_view& view, const service_id& service,
                   std::uint32_t shard_count, instant now) -> std::vector<target_id> {
    auto owners = owners_of(view, service, shard_count);
    if (must_wait_for_targets(state, view, service, owners, now)) {
        return owners;
    }
    const auto targets = placement_targets(state, view, service, owners, now);
    const auto loads = std::vector<double>(shard_count, 1.0);
    auto wanted = place_shards(service, owners, loads, targets, state.options.placement);
    for (std::size_t shard = 0; shard < wanted.size(); ++shard) {
        const auto& owner = owners[shard];
        if (owner.empty() || wanted[shard] == owner) {
            continue;
        }
        const auto described = view.config->targets.find(owner);
        const auto out = described == view.config->targets.end() || !can_own(view, owner, described->second);
        if (targets.empty() && !out) {
            wanted[shard] = owner;
        } else if (!must_release(targets, owner)) {
            if (state.rebalance_tokens < 1) {
                wanted[shard] = owner;
            } else {
                state.rebalance_tokens -= 1;
            }
        }
    }
    return wanted;
}

auto evidence_for(const controller& state, const controller_view& view, const service_id& service,
                  shard_id shard, const shard_record& record) -> move_evidence {
    auto evidence = move_evidence{};
    evidence.grants = state.options.grants;
    if (const auto target = view.config->targets.find(record.owner); target != view.config->targets.end()) {
        evidence.wanted_state = target->second.state;
        evidence.grants.checks_fence = target->second.checks_fence;
    }
    if (const auto found = view.config->services.find(service); found != view.config->services.end()) {
        evidence.isolation_limit = found->second.isolation_limit;
    }
    const auto key = std::pair{service, shard};
    if (const auto mark = state.marked_shards.find(key);
        mark != state.marked_shards.end() && mark->second.checked) {
        evidence.confirmed = mark->second.confirmed;
    }
    if (const auto report = state.shard_reports.find(key); report != state.shard_reports.end()) {
        evidence.report = report->second.report;
        evidence.reporter = report->second.keeper;
        evidence.report_epoch = report->second.epoch;
    }
    return evidence;
}

/// Tracks the releasing shards of a partition and collects the data centres whose delegations have to be
/// read.
auto track_release_marks(controller& state, const controller_view& view, const partition& object, instant now,
                         std::set<data_centre_id>& check) -> void {
    for (std::size_t position = 0; position < object.shards.size(); ++position) {
        const auto& record = object.shards[position];
        const auto key = std::pair{object.service, object.shard_at(position)};
        if (record.state != shard_state::releasing) {
            state.marked_shards.erase(key);
            state.shard_reports.erase(key);
            continue;
        }
        auto& mark = state.marked_shards[key];
        if (mark.confirmed.fence != record.fence) {
            mark = {.owner = record.owner,
                    .data_centre = {},
                    .confirmed = {.fence = record.fence, .epoch = 0, .marked_at = now},
                    .checked = false};
            if (const auto target = view.config->targets.find(record.owner);
                target != view.config->targets.end()) {
                mark.data_centre = target->second.data_centre;
            }
        }
        if (!mark.checked) {
            check.insert(mark.data_centre);
        }
    }
}

auto plan_home_partition(controller& state, const controller_view& view, const partition_key& key,
                         const versioned<partition>& current, const std::vector<target_id>& wanted,
                         instant now, controller_actions& actions) -> void {
    const auto& service = key.first;
    track_release_marks(state, view, current.object, now, actions.check_delegations);
    const auto first = static_cast<std::ptrdiff_t>(key.second) * shards_per_partition;
    const auto slice = std::vector<target_id>(wanted.begin() + first,
                                              wanted.begin() + first +
                                                  static_cast<std::ptrdiff_t>(current.object.shards.size()));
    const auto lookup = [&](shard_id shard, const shard_record& record) {
        return evidence_for(state, view, service, shard, record);
    };
    auto planned = plan_partition(current.object, slice, lookup, now);
    for (auto& move : planned.pending) {
        move.waited = now - state.marked_shards.at({service, move.shard}).confirmed.marked_at;
        state.pending.push_back(move);
    }
    if (!planned.changed) {
        return;
    }
    planned.next.home = state.data_centre;
    planned.next.writer_token = state.self.value() + "/" + std::to_string(state.next_token++);
    actions.partitions.push_back({.key = key,
                                  .expected_version = current.version,
                                  .next = std::move(planned.next),
                                  .assigned = std::move(planned.assigned),
                                  .marked = std::move(planned.marked)});
}

/// The partition to plan, if this controller is responsible: its home is this data centre, or it is new or
/// its home has no active controller, and this data centre is the preferred home.
auto partition_to_plan(const controller& state, const controller_view& view, const partition_key& key,
                       std::uint32_t shard_count) -> std::optional<versioned<partition>> {
    const auto found = view.partitions->find(key);
    if (found != view.partitions->end() && found->second.object.home == state.data_centre) {
        return found->second;
    }
    const auto needs_home =
        found == view.partitions->end() || !view.controlled_data_centres.contains(found->second.object.home);
    if (!needs_home || preferred_home(*view.config, key.first, key.second, view.controlled_data_centres) !=
                           state.data_centre) {
        return std::nullopt;
    }
    if (found != view.partitions->end()) {
        return found->second;
    }
    return versioned<partition>{.version = 0, .object = make_partition(key.first, key.second, shard_count)};
}

auto plan_delegations(controller& state, const controller_view& view, instant now)
    -> std::optional<delegation_write> {
    auto targets = std::vector<target_id>{};
    auto settled = std::vector<target_id>{};
    auto current = versioned<delegation_table>{};
    if (const auto found = view.delegations->find(state.data_centre); found != view.delegations->end()) {
        current = found->second;
    }
    for (const auto& [id, target] : view.config->targets) {
        if (target.data_centre != state.data_centre) {
            continue;
        }
        targets.push_back(id);
        const auto* const report = recent_report(state, id, now);
        const auto entry = current.object.targets.find(id);
        if (report != nullptr && entry != current.object.targets.end() && report->predecessors_stopped &&
            report->epoch == entry->second.epoch) {
            settled.push_back(id);
        }
    }
    auto next = current.object;
    next.data_centre = state.data_centre;
    auto changed = redelegate(next, targets, view.live_instances, settled);
    if (!changed && now >= state.next_keeper_rebalance_at) {
        changed = rebalance_keepers(next, view.live_instances);
        state.next_keeper_rebalance_at = now + state.options.keeper_rebalance_interval;
    }
    if (!changed) {
        return std::nullopt;
    }
    next.writer_token = state.self.value() + "/" + std::to_string(state.next_token++);
    return delegation_write{.expected_version = current.version, .next = std::move(next)};
}

} // namespace

auto make_controller(const instance_id& self, const data_centre_id& data_centre,
                     const controller_options& options, instant now) -> controller {
    auto state = controller{};
    state.self = self;
    state.data_centre = data_centre;
    state.options = options;
    state.rebalance_refilled_at = now;
    state.next_keeper_rebalance_at = now + options.keeper_rebalance_interval;
    state.started = now;
    return state;
}

auto on_report(controller& state, const target_report& report, instant now) -> void {
    const auto known = state.reports.find(report.target);
    if (known != state.reports.end() && known->second.report.epoch > report.epoch) {
        return;
    }
    for (const auto& shard : report.shards) {
        const auto key = std::pair{shard.service, shard.shard};
        state.shard_reports[key] = {.report = shard, .keeper = report.keeper, .epoch = report.epoch};
    }
    state.reports[report.target] = {.report = report, .received = now};
}

auto on_delegations_read(controller& state, const delegation_table& table, instant started) -> void {
    for (auto& [key, mark] : state.marked_shards) {
        if (mark.checked || mark.data_centre != table.data_centre || mark.confirmed.marked_at > started) {
            continue;
        }
        const auto entry = table.targets.find(mark.owner);
        mark.confirmed.epoch = entry == table.targets.end() ? 0 : entry->second.epoch;
        mark.checked = true;
    }
}

auto plan_actions(controller& state, const controller_view& view, const std::set<partition_key>& busy,
                  instant now) -> controller_actions {
    auto actions = controller_actions{};
    state.pending.clear();
    if (now - state.started < state.options.takeover_delay) {
        return actions;
    }
    actions.delegations = plan_delegations(state, view, now);
    refill_rebalance_tokens(state, now);
    for (const auto& [service, described] : view.config->services) {
        if (!described.is_keyed()) {
            continue;
        }
        const auto wanted = wanted_owners(state, view, service, described.shards, now);
        for (auto index = 0U; index < partition_count(described.shards); ++index) {
            const auto key = partition_key{service, index};
            if (busy.contains(key)) {
                continue;
            }
            if (const auto current = partition_to_plan(state, view, key, described.shards)) {
                plan_home_partition(state, view, key, *current, wanted, now, actions);
            }
        }
    }
    return actions;
}

auto preferred_home(const description& config, const service_id& service, std::uint32_t index,
                    const std::set<data_centre_id>& controlled) -> data_centre_id {
    const auto item = hash_text(service.value() + "/" + std::to_string(index));
    auto best = data_centre_id{};
    for (const auto& [id, target] : config.targets) {
        if (target.service != service || !controlled.contains(target.data_centre)) {
            continue;
        }
        if (best.empty() ||
            rendezvous_weight(item, target.data_centre.value()) > rendezvous_weight(item, best.value())) {
            best = target.data_centre;
        }
    }
    return best;
}

auto has_reported_phase(const controller& state, const target_id& target, target_phase phase, instant now)
    -> bool {
    const auto* const report = recent_report(state, target, now);
    return report != nullptr && report->phase == phase;
}

} // namespace teaselcross
