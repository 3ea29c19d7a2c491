#include "support/explorer.h"

#include "core/rendezvous.h"

namespace teaselcross::test {

namespace {

using process_step = void (*)(ownership_world&, std::size_t);

/// Sends what is due and lets the exchange with the target happen without delay.
auto keeper_exchanges(ownership_world& world, std::size_t keeper) -> void {
    const auto before = world.network.size();
    keeper_sends(world, keeper);
    const auto sent = world.network.size() - before;
    for (auto count = std::size_t{0}; count < sent; ++count) {
        deliver(world, before);                   // The request of the first that is left.
        deliver(world, world.network.size() - 1); // Its reply.
    }
}

auto keeper_reads(ownership_world& world, std::size_t keeper) -> void {
    keeper_begins_read(world, keeper);
    keeper_ends_read(world, keeper);
}

auto keeper_reports_at_once(ownership_world& world, std::size_t keeper) -> void {
    const auto before = world.network.size();
    keeper_reports(world, keeper);
    while (world.network.size() > before) {
        deliver(world, before);
    }
}

auto controller_considers(ownership_world& world, std::size_t controller) -> void {
    controller_syncs(world, controller);
    controller_plans(world, controller);
}

auto controller_acts(ownership_world& world, std::size_t controller) -> void {
    controller_considers(world, controller);
    controller_commits(world, controller);
    controller_syncs(world, controller);
    controller_plans(world, controller);
}

const std::vector<std::pair<std::string, process_step>> keeper_steps{
    {"sync", keeper_syncs},           {"begin_read", keeper_begins_read},
    {"end_read", keeper_ends_read},   {"read", keeper_reads},
    {"send", keeper_sends},           {"exchange", keeper_exchanges},
    {"report", keeper_reports},       {"report_now", keeper_reports_at_once},
    {"ask", keeper_asks_predecessors}};

const std::vector<std::pair<std::string, process_step>> controller_steps{
    {"consider", controller_considers},
    {"commit", controller_commits},
    {"act", controller_acts},
    {"begin_check", controller_begins_check},
    {"end_check", controller_ends_check}};

auto add_process_steps(const ownership_world& world, std::vector<world_step>& steps) -> void {
    const auto add = [&](const std::string& prefix, std::size_t count, const auto& each_steps) {
        for (std::size_t index = 0; index < count; ++index) {
            for (const auto& [name, step] : each_steps) {
                steps.push_back(
                    {prefix + std::to_string(index) + "." + name,
                     [index, step = step](ownership_world& next, path_limits&) { step(next, index); }});
            }
        }
    };
    add("k", world.keepers.size(), keeper_steps);
    add("c", world.controllers.size(), controller_steps);
}

auto add_message_steps(const ownership_world& world, const path_limits& limits,
                       std::vector<world_step>& steps) -> void {
    for (std::size_t position = 0; position < world.network.size(); ++position) {
        const auto& message = world.network[position];
        const auto name = std::to_string(static_cast<int>(message.what)) + "_k" +
                          std::to_string(message.keeper) + "_" + std::to_string(message.target);
        steps.push_back(
            {"deliver" + name, [position](auto& next, path_limits&) { deliver(next, position); }});
        if (limits.losses > 0) {
            steps.push_back({"lose" + name, [position](auto& next, path_limits& left) {
                                 --left.losses;
                                 lose(next, position);
                             }});
        }
    }
}

auto add_fault_steps(const ownership_world& world, const path_limits& limits, std::vector<world_step>& steps)
    -> void {
    for (const auto milliseconds : {700, 1300}) {
        steps.push_back({"wait" + std::to_string(milliseconds), [milliseconds](auto& next, path_limits&) {
                             pass_time(next, std::chrono::milliseconds{milliseconds});
                         }});
    }
    if (limits.restarts > 0) {
        for (std::size_t index = 0; index < world.targets.size(); ++index) {
            steps.push_back({"restart" + std::to_string(index), [index](auto& next, path_limits& left) {
                                 --left.restarts;
                                 restart_target(next, index);
                             }});
        }
    }
    if (limits.takeovers > 0 && world.live.size() > 1) {
        for (std::size_t index = 0; index < world.live.size(); ++index) {
            steps.push_back({"give_up_" + world.live[index].value(), [index](auto& next, path_limits& left) {
                                 --left.takeovers;
                                 next.live.erase(next.live.begin() + static_cast<std::ptrdiff_t>(index));
                             }});
        }
    }
}

class search {
public:
    auto run(const ownership_world& from, int depth, const path_limits& limits) -> exploration {
        visit(from, depth, limits);
        m_result.states = m_seen.size();
        return m_result;
    }

private:
    auto visit(const ownership_world& world, int depth, const path_limits& limits) -> void {
        const auto text = fingerprint(world) + '#' + std::to_string(limits.restarts) +
                          std::to_string(limits.takeovers) + std::to_string(limits.losses);
        auto& explored = m_seen.try_emplace(hash_text(text), -1).first->second;
        if (explored >= depth) {
            return;
        }
        explored = depth;
        if (depth == 0) {
            return;
        }
        for (const auto& step : possible_steps(world, limits)) {
            if (!m_result.broken.empty()) {
                return;
            }
            ++m_result.steps;
            auto next = world;
            auto left = limits;
            step.take(next, left);
            m_path.push_back(step.name);
            if (const auto broken = broken_promise(next); !broken.empty()) {
                m_result.broken = broken + ":";
                for (const auto& each : m_path) {
                    m_result.broken += " " + each;
                }
            }
            visit(next, depth - 1, left);
            m_path.pop_back();
        }
    }

    exploration m_result;
    std::unordered_map<std::uint64_t, int> m_seen;
    std::vector<std::string> m_path;
};

} // namespace

auto possible_steps(const ownership_world& world, const path_limits& limits) -> std::vector<world_step> {
    auto steps = std::vector<world_step>{};
    add_process_steps(world, steps);
    add_message_steps(world, limits, steps);
    add_fault_steps(world, limits, steps);
    return steps;
}

auto world_before_move(const world_options& options) -> ownership_world {
    auto world = make_world(options);
    run_for(world, std::chrono::seconds{3});
    world.network.clear();
    for (auto& keeper : world.keepers) {
        for (auto& [id, target] : keeper.state.targets) {
            if (target.grants.outstanding) {
                on_no_reply(target.grants, world.now);
            }
        }
    }
    const auto owner = world.stored_partition.object.record(shard_id{0}).owner;
    world.config.targets.at(owner).state = target_state::draining;
    return world;
}

auto explore(const ownership_world& from, int depth, const path_limits& limits) -> exploration {
    return search{}.run(from, depth, limits);
}

auto follow(ownership_world world, const std::vector<std::uint16_t>& choices, path_limits limits)
    -> std::string {
    auto path = std::string{};
    for (const auto choice : choices) {
        const auto steps = possible_steps(world, limits);
        const auto& step = steps[choice % steps.size()];
        step.take(world, limits);
        path += " " + step.name;
        if (const auto broken = broken_promise(world); !broken.empty()) {
            return broken + ":" + path;
        }
    }
    return {};
}

} // namespace teaselcross::test
