// Sequences of events in which a single rule prevents two owners. Each runs twice: without the rule, where
// the check has to find two owners, and with it.

#include "support/ownership_world.h"

#include <gtest/gtest.h>

namespace teaselcross::test {

namespace {

/// Runs until @a reached or for five seconds. Returns whether it was reached.
auto run_until(ownership_world& world, const std::function<bool()>& reached) -> bool {
    const auto until = world.now + std::chrono::seconds{5};
    while (!reached() && world.now < until) {
        run_tick(world);
    }
    return reached();
}

/// Runs for @a period and returns the first violated invariant, or "".
auto watch(ownership_world& world, duration period) -> std::string {
    const auto until = world.now + period;
    auto violation = broken_promise(world);
    while (violation.empty() && world.now < until) {
        run_tick(world);
        violation = broken_promise(world);
    }
    return violation;
}

/// Delivers one keeper's messages and the replies without delay.
auto exchange(ownership_world& world, std::size_t keeper) -> void {
    keeper_sends(world, keeper);
    while (!world.network.empty()) {
        deliver(world, 0);
    }
}

auto owner_index(const ownership_world& world) -> std::size_t {
    return world.stored_partition.object.record(shard_id{0}).owner == target_id{"t0"} ? 0 : 1;
}

auto keeper_index(const ownership_world& world, std::size_t target) -> std::size_t {
    const auto& table = world.stored_delegations.begin()->second.object;
    const auto& keeper = table.targets.at(target_id{"t" + std::to_string(target)}).keeper;
    return keeper == instance_id{"k0"} ? 0 : 1;
}

/// A controller is paused between planning a write and making it; another one continues meanwhile.
auto paused_writer(mutation planted) -> std::string {
    auto world = make_world({.planted = planted});
    run_for(world, std::chrono::seconds{3});
    const auto owner = owner_index(world);
    world.config.targets.at(world.targets[owner].id).state = target_state::draining;
    EXPECT_TRUE(run_until(world, [&] {
        const auto& pending = world.controllers[0].pending_partition;
        return pending && !pending->assigned.empty();
    }));
    world.controllers[0].paused = true;
    run_for(world, std::chrono::seconds{1});
    // The shard moves back, and then the paused controller makes its old write.
    world.config.targets.at(world.targets[owner].id).state = target_state::in;
    world.config.targets.at(world.targets[1 - owner].id).state = target_state::draining;
    run_for(world, std::chrono::seconds{2});
    EXPECT_TRUE(all_served(world));
    // The current owner is unreachable for a while.
    world.cut_links.insert({0, owner});
    world.cut_links.insert({1, owner});
    world.controllers[0].paused = false;
    return watch(world, std::chrono::seconds{2});
}

/// A keeper is paused while its target's shard moves away; the target restarts without any state before the
/// keeper resumes.
auto paused_keeper(mutation planted) -> std::string {
    auto world = make_world({.planted = planted});
    run_for(world, std::chrono::seconds{3});
    const auto owner = owner_index(world);
    const auto keeper = keeper_index(world, owner);
    world.keepers[keeper].paused = true;
    std::erase(world.live, world.keepers[keeper].state.self);
    run_for(world, std::chrono::seconds{2});
    world.config.targets.at(world.targets[owner].id).state = target_state::draining;
    run_for(world, std::chrono::seconds{2});
    EXPECT_TRUE(all_served(world));
    world.cut_links.insert({1 - keeper, owner});
    restart_target(world, owner);
    world.keepers[keeper].cut_off = true;
    world.keepers[keeper].paused = false;
    return watch(world, std::chrono::seconds{2});
}

/// A keeper that can no longer reach its target sees that a shard is marked, but not that another keeper has
/// the target; the other keeper has granted the shard and has not seen the mark.
auto keeper_with_old_delegation(mutation planted) -> std::string {
    auto world = make_world({.planted = planted});
    run_for(world, std::chrono::seconds{3});
    world.network.clear();
    const auto owner = owner_index(world);
    const auto old_keeper = keeper_index(world, owner);
    const auto new_keeper = 1 - old_keeper;
    const auto old_table = world.stored_delegations;
    world.cut_links.insert({old_keeper, owner});
    std::erase(world.live, world.keepers[old_keeper].state.self);
    controller_syncs(world, 0);
    controller_plans(world, 0);
    controller_commits(world, 0);
    keeper_syncs(world, new_keeper);
    for (auto count = 0; count < 10; ++count) {
        keeper_begins_read(world, new_keeper);
        keeper_ends_read(world, new_keeper);
        exchange(world, new_keeper);
        pass_time(world, std::chrono::milliseconds{100});
    }
    EXPECT_EQ(holders(world, 0), std::vector<std::size_t>{owner});

    world.config.targets.at(world.targets[owner].id).state = target_state::draining;
    auto& controller = world.controllers[1];
    const auto plan_with_old_table = [&] {
        controller_syncs(world, 1);
        controller.delegations = old_table;
        controller_plans(world, 1);
        controller.pending_delegations.reset();
        controller_begins_check(world, 1);
        controller_ends_check(world, 1);
        controller_commits(world, 1);
    };
    plan_with_old_table();
    on_partition(world.keepers[old_keeper].state, world.stored_partition.object, world.now);
    auto violation = std::string{};
    for (auto count = 0; count < 30 && violation.empty(); ++count) {
        pass_time(world, std::chrono::milliseconds{100});
        keeper_sends(world, old_keeper);
        keeper_reports(world, old_keeper);
        exchange(world, new_keeper);
        plan_with_old_table();
        on_partition(world.keepers[old_keeper].state, world.stored_partition.object, world.now);
        exchange(world, old_keeper);
        violation = broken_promise(world);
        // The other target may be the old keeper's or the new one's, who sees only that target's new shard.
        if (keeper_index(world, 1 - owner) == new_keeper && violation.empty()) {
            auto partition_copy = world.stored_partition.object;
            if (partition_copy.record(shard_id{0}).owner != world.targets[owner].id) {
                auto& kept = world.keepers[new_keeper].state.targets.at(world.targets[1 - owner].id);
                kept.records[0] = {
                    {shard_id{0}, partition_copy.record(shard_id{0}).fence, shard_state::owned, world.now}};
            }
        }
    }
    return violation;
}

} // namespace

TEST(hazards, a_write_planned_before_a_pause_is_refused_after_it) {
    EXPECT_NE(paused_writer(mutation::blind_writes), "");
    EXPECT_EQ(paused_writer(mutation::none), "");
}

TEST(hazards, a_keeper_grants_to_a_new_process_only_what_it_has_read_since) {
    EXPECT_NE(paused_keeper(mutation::stale_records_granted), "");
    EXPECT_EQ(paused_keeper(mutation::none), "");
}

TEST(hazards, a_report_counts_only_under_the_delegation_read_after_the_mark) {
    EXPECT_NE(keeper_with_old_delegation(mutation::no_delegation_check), "");
    EXPECT_EQ(keeper_with_old_delegation(mutation::none), "");
}

} // namespace teaselcross::test
