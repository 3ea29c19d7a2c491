#include "support/ownership_world.h"

#include <algorithm>
#include <sstream>

namespace teaselcross::test {

namespace {

const auto service = service_id{"s"};
constexpr auto tick = duration{std::chrono::milliseconds{20}};

auto keeper_name(std::size_t index) -> instance_id {
    return instance_id{"k" + std::to_string(index)};
}

auto target_name(std::size_t index) -> target_id {
    return target_id{"t" + std::to_string(index)};
}

auto data_centre_name(const world_options& options, std::size_t index) -> data_centre_id {
    return data_centre_id{"dc" + std::to_string(index % options.data_centres)};
}

auto target_index(const target_id& id) -> std::size_t {
    return static_cast<std::size_t>(id.value().back() - '0');
}

auto begin_process(ownership_world& world, world_target& target) -> void {
    target.incarnation = world.next_incarnation++;
    target.epoch = 0;
    target.nonce = 0;
    target.expiry = {};
    target.held.clear();
    target.down = false;
}

/// A conditional write. Returns whether the writer learns that it took effect.
template <class Object>
auto write(ownership_world& world, versioned<Object>& stored, std::uint64_t expected, const Object& next)
    -> bool {
    const auto blind = world.options.planted == mutation::blind_writes;
    if (world.store_down || (stored.version != expected && !blind)) {
        return false;
    }
    stored = {.version = ++world.store_version, .object = next};
    ++world.events;
    if (world.lose_replies > 0) {
        --world.lose_replies;
        return false;
    }
    return true;
}

auto reachable(const ownership_world& world, const auto& process) -> bool {
    return !world.store_down && !process.cut_off;
}

auto running(const auto& process) -> bool {
    return !process.paused && !process.down;
}

auto take_partition(ownership_world& world, world_keeper& keeper, std::uint64_t version,
                    const partition& whole) -> void {
    if (version > keeper.partition_seen) {
        keeper.partition_seen = version;
        on_partition(keeper.state, whole, world.now);
    }
}

auto answer(ownership_world& world, world_target& target, const grant_request& request) -> grant_reply {
    auto result = grant_result::accepted;
    if (target.checks_fence && request.epoch < target.epoch) {
        result = grant_result::old_epoch;
    } else if (request.incarnation != 0 && request.incarnation != target.incarnation) {
        result = grant_result::other_incarnation;
    } else if (request.nonce != 0 && (request.nonce != target.nonce || request.epoch != target.epoch)) {
        result = grant_result::old_nonce;
    }
    if (result == grant_result::accepted) {
        target.epoch = request.epoch;
        if (request.nonce != 0) {
            const auto from_receipt = world.options.planted == mutation::term_from_receipt;
            target.expiry = (from_receipt ? world.now : target.nonce_drawn) + request.term;
            target.held.clear();
            for (const auto& granted : request.shards) {
                target.held[number(granted.shard)] = granted.fence;
            }
        }
        ++target.nonce;
        target.nonce_drawn = world.now;
    }
    return {.result = result, .incarnation = target.incarnation, .nonce = target.nonce};
}

auto deliver_request(ownership_world& world, world_message message) -> void {
    auto& target = world.targets[message.target];
    if (target.down) {
        message.what = world_message::kind::refused;
    } else {
        message.reply = answer(world, target, message.request);
        message.what = world_message::kind::reply;
    }
    message.due = world.now + world.options.latency;
    world.network.push_back(std::move(message));
}

auto deliver_to_keeper(ownership_world& world, const world_message& message) -> void {
    auto& keeper = world.keepers[message.keeper];
    const auto found = keeper.state.targets.find(target_name(message.target));
    if (keeper.down || found == keeper.state.targets.end() || found->second.grants.epoch != message.epoch) {
        return;
    }
    // Replies to requests that were given up are dropped with their connection.
    const auto& outstanding = found->second.grants.outstanding;
    if (!outstanding || !(*outstanding == message.request)) {
        return;
    }
    if (message.what == world_message::kind::refused) {
        on_connection_refused(found->second.grants, world.now);
    } else {
        on_reply(found->second.grants, message.reply, world.now);
    }
    found->second.changed = true;
}

auto plant_false_reports(ownership_world& world, target_report& report) -> void {
    const auto silent =
        world.options.planted == mutation::silence_is_proof && report.phase == target_phase::silent;
    if (silent || world.options.planted == mutation::clear_at_once) {
        for (auto& shard : report.shards) {
            shard.clear = clear_proof::term_ended;
        }
    }
}

/// Whether a message to this process waits until it runs again.
auto held_up(const ownership_world& world, const world_message& message) -> bool {
    if (message.what == world_message::kind::request) {
        return world.targets[message.target].frozen;
    }
    if (message.what == world_message::kind::report) {
        return world.controllers[message.target].paused;
    }
    return world.keepers[message.keeper].paused;
}

} // namespace

auto make_world(const world_options& options) -> ownership_world {
    auto world = ownership_world{};
    world.options = options;
    world.config.version = 1;
    world.config.services[service] = {.key = key_source::path, .shards = options.shards};
    world.stored_partition.object = make_partition(service, 0, options.shards);
    for (std::size_t index = 0; index < options.data_centres; ++index) {
        const auto name = data_centre_name(options, index);
        world.config.data_centres[name] = {};
        world.stored_delegations[name].object.data_centre = name;
    }
    for (std::size_t index = 0; index < options.targets; ++index) {
        world.config.targets[target_name(index)] = {.service = service,
                                                    .data_centre = data_centre_name(options, index),
                                                    .host = "127.0.0.1",
                                                    .port = static_cast<std::uint16_t>(9000 + index),
                                                    .checks_fence = options.checks_fence};
        auto target = world_target{.id = target_name(index), .checks_fence = options.checks_fence};
        begin_process(world, target);
        world.targets.push_back(target);
    }
    for (std::size_t index = 0; index < options.keepers; ++index) {
        world.live.push_back(keeper_name(index));
        auto keeper = world_keeper{};
        keeper.state.self = keeper_name(index);
        keeper.data_centre = data_centre_name(options, index);
        if (options.planted == mutation::silence_is_proof) {
            keeper.state.options.grants.silence_limit = std::chrono::milliseconds{400};
        }
        world.keepers.push_back(std::move(keeper));
    }
    for (std::size_t index = 0; index < options.controllers; ++index) {
        auto controller = world_controller{};
        auto chosen = controller_options{};
        chosen.takeover_delay = duration{0};
        chosen.ramp_start = 1;
        controller.state = make_controller(instance_id{"c" + std::to_string(index)},
                                           data_centre_name(options, index), chosen, world.now);
        world.controllers.push_back(std::move(controller));
    }
    return world;
}

auto keeper_syncs(ownership_world& world, std::size_t index) -> void {
    auto& keeper = world.keepers[index];
    if (!running(keeper) || !reachable(world, keeper)) {
        return;
    }
    const auto& stored = world.stored_delegations.at(keeper.data_centre);
    if (stored.version > keeper.delegations_seen) {
        keeper.delegations_seen = stored.version;
        const auto changes = on_delegations(keeper.state, stored.object, world.config, world.now);
        if (!changes.acquired.empty()) {
            // The mirror at hand is taken over for the new targets too, as the daemon does.
            const auto seen = std::exchange(keeper.partition_seen, 0);
            if (seen > 0) {
                take_partition(world, keeper, world.stored_partition.version, world.stored_partition.object);
            }
        }
    }
    take_partition(world, keeper, world.stored_partition.version, world.stored_partition.object);
}

auto keeper_begins_read(ownership_world& world, std::size_t index) -> void {
    auto& keeper = world.keepers[index];
    if (running(keeper) && reachable(world, keeper) && !keeper.reading_since) {
        keeper.reading_since = world.now;
        keeper.read = {world.stored_partition.version, world.stored_partition.object};
    }
}

auto keeper_ends_read(ownership_world& world, std::size_t index) -> void {
    auto& keeper = world.keepers[index];
    if (!running(keeper) || !keeper.reading_since) {
        return;
    }
    take_partition(world, keeper, keeper.read->first, keeper.read->second);
    on_partitions_read(keeper.state, service, *std::exchange(keeper.reading_since, std::nullopt));
    keeper.read.reset();
}

auto keeper_sends(ownership_world& world, std::size_t index) -> void {
    auto& keeper = world.keepers[index];
    if (!running(keeper)) {
        return;
    }
    for (auto& [id, target] : keeper.state.targets) {
        auto& grants = target.grants;
        if (grants.outstanding && world.now - grants.outstanding_sent_at >= grants.options.reply_timeout) {
            on_no_reply(grants, world.now);
        }
        on_tick(grants, world.now);
        if (world.options.planted == mutation::stale_records_granted) {
            grants.records_current = true;
        }
        for (const auto& closing : releasing_shards(target)) {
            on_shard_idle(keeper.state, id, closing.shard, closing.fence, world.now);
        }
        const auto wanted = shards_to_grant(target, keeper.state.options, world.now);
        if (const auto request = next_request(grants, wanted, world.now)) {
            if (world.cut_links.contains({index, target_index(id)})) {
                continue;
            }
            world.network.push_back({.what = world_message::kind::request,
                                     .keeper = index,
                                     .target = target_index(id),
                                     .epoch = request->epoch,
                                     .request = *request,
                                     .due = world.now + world.options.latency});
        }
    }
}

auto keeper_reports(ownership_world& world, std::size_t index) -> void {
    auto& keeper = world.keepers[index];
    if (!running(keeper)) {
        return;
    }
    for (auto& [id, target] : keeper.state.targets) {
        on_tick(target.grants, world.now);
        auto report = make_report(keeper.state, id, world.now);
        plant_false_reports(world, report);
        for (std::size_t controller = 0; controller < world.controllers.size(); ++controller) {
            world.network.push_back({.what = world_message::kind::report,
                                     .keeper = index,
                                     .target = controller,
                                     .report = report,
                                     .due = world.now + world.options.latency});
        }
    }
}

auto keeper_asks_predecessors(ownership_world& world, std::size_t index) -> void {
    auto& keeper = world.keepers[index];
    if (!running(keeper)) {
        return;
    }
    auto asked = std::vector<std::pair<target_id, instance_id>>{};
    for (const auto& [id, target] : keeper.state.targets) {
        for (const auto& predecessor : target.predecessors) {
            asked.emplace_back(id, predecessor);
        }
    }
    for (const auto& [id, predecessor] : asked) {
        auto& other = world.keepers[static_cast<std::size_t>(std::stoi(predecessor.value().substr(1)))];
        if (!other.down && (other.paused || other.cut_off)) {
            continue;
        }
        if (!other.down) {
            hand_over(other.state, id, keeper.state.targets.at(id).grants.epoch);
        }
        on_predecessor_stopped(keeper.state, id, predecessor, world.now);
    }
}

auto controller_syncs(ownership_world& world, std::size_t index) -> void {
    auto& controller = world.controllers[index];
    if (!running(controller) || !reachable(world, controller)) {
        return;
    }
    if (world.stored_partition.version > 0) {
        controller.partitions[{service, 0}] = world.stored_partition;
    }
    for (const auto& [name, stored] : world.stored_delegations) {
        if (stored.version > 0) {
            controller.delegations[name] = stored;
        }
    }
}

auto controller_plans(ownership_world& world, std::size_t index) -> void {
    auto& controller = world.controllers[index];
    if (!running(controller) || controller.pending_partition || controller.pending_delegations) {
        return;
    }
    auto view = controller_view{};
    view.config = &world.config;
    view.partitions = &controller.partitions;
    view.delegations = &controller.delegations;
    for (const auto& keeper : world.keepers) {
        const auto alive =
            std::find(world.live.begin(), world.live.end(), keeper.state.self) != world.live.end();
        if (alive && keeper.data_centre == controller.state.data_centre) {
            view.live_instances.push_back(keeper.state.self);
        }
    }
    for (const auto& other : world.controllers) {
        if (!other.down) {
            view.controlled_data_centres.insert(other.state.data_centre);
        }
    }
    const auto actions = plan_actions(controller.state, view, {}, world.now);
    if (!actions.partitions.empty()) {
        controller.pending_partition = actions.partitions.front();
    }
    controller.pending_delegations = actions.delegations;
    controller.wants_check = !actions.check_delegations.empty();
    if (controller.wants_check && world.options.planted == mutation::no_delegation_check) {
        for (const auto& [name, table] : controller.delegations) {
            on_delegations_read(controller.state, table.object, world.now);
        }
    }
}

auto controller_commits(ownership_world& world, std::size_t index) -> void {
    auto& controller = world.controllers[index];
    if (!running(controller) || controller.cut_off) {
        return;
    }
    if (const auto planned = std::exchange(controller.pending_delegations, std::nullopt)) {
        write(world, world.stored_delegations.at(controller.state.data_centre), planned->expected_version,
              planned->next);
    }
    if (const auto planned = std::exchange(controller.pending_partition, std::nullopt)) {
        write(world, world.stored_partition, planned->expected_version, planned->next);
    }
}

auto controller_begins_check(ownership_world& world, std::size_t index) -> void {
    auto& controller = world.controllers[index];
    if (running(controller) && reachable(world, controller) && controller.wants_check &&
        !controller.checking_since) {
        controller.checking_since = world.now;
        for (const auto& [name, stored] : world.stored_delegations) {
            controller.checked.push_back(stored.object);
        }
    }
}

auto controller_ends_check(ownership_world& world, std::size_t index) -> void {
    auto& controller = world.controllers[index];
    if (running(controller) && controller.checking_since) {
        for (const auto& table : std::exchange(controller.checked, {})) {
            on_delegations_read(controller.state, table, *controller.checking_since);
        }
        controller.checking_since.reset();
    }
}

auto deliver(ownership_world& world, std::size_t position) -> void {
    auto message = world.network[position];
    world.network.erase(world.network.begin() + static_cast<std::ptrdiff_t>(position));
    ++world.events;
    switch (message.what) {
    case world_message::kind::request:
        deliver_request(world, std::move(message));
        break;
    case world_message::kind::reply:
    case world_message::kind::refused:
        deliver_to_keeper(world, message);
        break;
    case world_message::kind::report:
        if (!world.controllers[message.target].down) {
            on_report(world.controllers[message.target].state, message.report, world.now);
        }
        break;
    }
}

auto lose(ownership_world& world, std::size_t position) -> void {
    world.network.erase(world.network.begin() + static_cast<std::ptrdiff_t>(position));
}

auto pass_time(ownership_world& world, duration period) -> void {
    world.now += period;
}

auto restart_target(ownership_world& world, std::size_t target) -> void {
    begin_process(world, world.targets[target]);
}

auto kill_target(ownership_world& world, std::size_t target) -> void {
    world.targets[target].down = true;
    world.targets[target].held.clear();
}

auto kill_keeper(ownership_world& world, std::size_t keeper) -> void {
    world.keepers[keeper].down = true;
    world.keepers[keeper].state.targets.clear();
    std::erase(world.live, world.keepers[keeper].state.self);
}

auto replace_keeper(ownership_world& world, std::size_t killed) -> void {
    auto fresh = world_keeper{};
    fresh.state.self = keeper_name(world.keepers.size());
    fresh.data_centre = world.keepers[killed].data_centre;
    world.live.push_back(fresh.state.self);
    world.keepers.push_back(std::move(fresh));
}

auto replace_controller(ownership_world& world, std::size_t killed) -> void {
    const auto& old = world.controllers[killed].state;
    auto fresh = world_controller{};
    fresh.state = make_controller(instance_id{"c" + std::to_string(world.controllers.size())},
                                  old.data_centre, old.options, world.now);
    world.controllers.push_back(std::move(fresh));
}

auto run_tick(ownership_world& world) -> void {
    const auto ticks = static_cast<std::uint64_t>(world.now.time_since_epoch() / tick);
    for (std::size_t position = 0; position < world.network.size();) {
        const auto& message = world.network[position];
        if (message.due > world.now || held_up(world, message)) {
            ++position;
            continue;
        }
        deliver(world, position);
    }
    constexpr auto report_every = std::uint64_t{3};
    for (std::size_t index = 0; index < world.keepers.size(); ++index) {
        keeper_ends_read(world, index);
        keeper_syncs(world, index);
        keeper_asks_predecessors(world, index);
        const auto& targets = world.keepers[index].state.targets;
        const auto needs_read = std::any_of(targets.begin(), targets.end(), [](const auto& each) {
            return !each.second.grants.records_current;
        });
        if (needs_read) {
            keeper_begins_read(world, index);
        }
        keeper_sends(world, index);
        if (ticks % report_every == 0) {
            keeper_reports(world, index);
        }
    }
    for (std::size_t index = 0; index < world.controllers.size(); ++index) {
        controller_ends_check(world, index);
        // A write planned before a pause is made after it, whatever has happened since.
        controller_commits(world, index);
        controller_syncs(world, index);
        controller_plans(world, index);
        controller_begins_check(world, index);
    }
    pass_time(world, tick);
}

auto run_for(ownership_world& world, duration period) -> void {
    const auto until = world.now + period;
    while (world.now < until) {
        run_tick(world);
    }
}

auto holders(const ownership_world& world, std::uint32_t shard) -> std::vector<std::size_t> {
    auto found = std::vector<std::size_t>{};
    for (std::size_t index = 0; index < world.targets.size(); ++index) {
        const auto& target = world.targets[index];
        if (!target.down && world.now < target.expiry && target.held.contains(shard)) {
            found.push_back(index);
        }
    }
    return found;
}

auto broken_promise(const ownership_world& world) -> std::string {
    for (std::uint32_t shard = 0; shard < world.options.shards; ++shard) {
        if (holders(world, shard).size() > 1) {
            return "shard " + std::to_string(shard) + " has two owners";
        }
    }
    return {};
}

auto all_served(const ownership_world& world) -> bool {
    for (std::uint32_t shard = 0; shard < world.options.shards; ++shard) {
        const auto held_by = holders(world, shard);
        if (held_by.size() != 1) {
            return false;
        }
        const auto& target = world.targets[held_by.front()];
        const auto& record = world.stored_partition.object.record(shard_id{shard});
        const auto right = record.state == shard_state::owned && record.owner == target.id &&
                           target.held.at(shard) == record.fence;
        if (!right || !world.config.is_in_service(world.config.targets.at(target.id))) {
            return false;
        }
    }
    return true;
}

auto fingerprint(const ownership_world& world) -> std::string {
    auto text = std::ostringstream{};
    const auto age = [&](instant at) { return (at - world.now).count() / 1000; };
    text << to_json(world.stored_partition.object)["shards"];
    for (const auto& [name, stored] : world.stored_delegations) {
        text << to_json(stored.object)["targets"];
    }
    for (const auto& target : world.targets) {
        text << "|t" << target.epoch << ',' << target.nonce << ',' << target.incarnation << ','
             << std::max<std::int64_t>(0, age(target.expiry)) << ',' << age(target.nonce_drawn)
             << target.down;
        for (const auto& [shard, fence] : target.held) {
            text << ',' << shard << '@' << fence;
        }
    }
    for (const auto& keeper : world.keepers) {
        text << "|k" << keeper.partition_seen << ',' << keeper.delegations_seen << ',' << keeper.down
             << (keeper.reading_since ? age(*keeper.reading_since) : 1)
             << (keeper.read ? keeper.read->first : 0);
        for (const auto& [id, target] : keeper.state.targets) {
            const auto& grants = target.grants;
            text << ';' << id << grants.epoch << ',' << grants.nonce << ',' << grants.incarnation << ','
                 << grants.records_current << grants.predecessors_covered << grants.predecessors_stopped
                 << grants.superseded << static_cast<int>(grants.phase) << target.predecessors.size() << ','
                 << age(grants.next_heartbeat_at) << ',' << age(grants.last_reply_at) << ','
                 << (grants.outstanding ? age(grants.outstanding_sent_at) : 1);
            for (const auto& [shard, end] : grants.may_hold_until) {
                text << ',' << number(shard) << '~' << age(end);
            }
        }
    }
    for (const auto& controller : world.controllers) {
        text << "|c"
             << (controller.pending_partition ? to_json(controller.pending_partition->next)["shards"].dump()
                                              : "")
             << (controller.pending_partition ? controller.pending_partition->expected_version : 0)
             << (controller.pending_delegations ? controller.pending_delegations->expected_version : 0)
             << controller.wants_check << (controller.checking_since ? age(*controller.checking_since) : 1);
        for (const auto& [key, mark] : controller.state.marked_shards) {
            text << ",m" << mark.confirmed.fence << mark.checked << mark.confirmed.epoch;
        }
        for (const auto& [key, report] : controller.state.shard_reports) {
            text << ",r" << report.report.fence << report.report.clear.has_value() << report.epoch;
        }
        for (const auto& [key, held] : controller.partitions) {
            text << ",p" << held.version;
        }
        for (const auto& [key, held] : controller.delegations) {
            text << ",d" << held.version;
        }
    }
    for (const auto& message : world.network) {
        text << "|n" << static_cast<int>(message.what) << message.keeper << message.target << message.epoch
             << ',' << message.request.nonce << ',' << message.request.shards.size() << ','
             << message.reply.nonce << ',' << message.report.shards.size()
             << static_cast<int>(message.report.phase);
        for (const auto& shard : message.report.shards) {
            text << ',' << shard.fence << shard.clear.has_value();
        }
    }
    return text.str();
}

} // namespace teaselcross::test
