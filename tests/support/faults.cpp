#include "support/faults.h"

#include <algorithm>

namespace teaselcross::test {

namespace {

constexpr auto shards = 8U;
constexpr auto fault_length = duration{std::chrono::milliseconds{2500}};
constexpr auto step_patience = duration{std::chrono::seconds{4}}; ///< For a step that may never come.
constexpr auto settle_time = duration{std::chrono::seconds{8}};   ///< After the last fault has healed.

/// What has to be undone, and when.
struct healing {
    instant due{};
    std::function<void(ownership_world&)> undo;
};

class cell_run {
public:
    explicit cell_run(const matrix_cell& cell)
        : m_cell{cell}, m_world{make_world({.shards = shards,
                                            .data_centres = 2,
                                            .controllers = 4,
                                            .keepers = 4,
                                            .targets = 4,
                                            .checks_fence = cell.checks_fence,
                                            .planted = cell.planted})} {}

    auto run() -> std::string {
        if (m_cell.what != undertaking::first_grants) {
            prepare();
        }
        begin();
        wait_for_step(m_cell.first_step);
        strike(m_cell.first);
        if (m_cell.second != fault::none) {
            wait_for_step(m_cell.second_step);
            strike(m_cell.second);
        }
        run_until(m_world.now + fault_length + settle_time);
        if (m_broken.empty() && !all_served(m_world)) {
            m_broken = "not every shard is served by the end";
        }
        return m_broken;
    }

private:
    auto prepare() -> void {
        if (m_cell.what == undertaking::data_centre_in) {
            m_world.config.data_centres[data_centre_id{"dc0"}].state = data_centre_state::out;
        }
        if (m_cell.what == undertaking::target_returns) {
            kill_target(m_world, 0);
        }
        if (m_cell.what == undertaking::join) {
            std::erase(m_world.live, instance_id{"k2"});
        }
        run_until(m_world.now + std::chrono::seconds{5});
    }

    auto begin() -> void {
        auto& config = m_world.config;
        switch (m_cell.what) {
        case undertaking::first_grants:
        case undertaking::refresh:
            break;
        case undertaking::drain:
            config.targets.at(target_id{"t0"}).state = target_state::draining;
            break;
        case undertaking::data_centre_out:
            config.data_centres[data_centre_id{"dc0"}].state = data_centre_state::out;
            break;
        case undertaking::data_centre_in:
            config.data_centres[data_centre_id{"dc0"}].state = data_centre_state::in;
            break;
        case undertaking::take_over:
            m_world.controllers[0].down = true;
            break;
        case undertaking::delegation:
            std::erase(m_world.live, instance_id{"k0"});
            break;
        case undertaking::join:
            m_world.live.push_back(instance_id{"k2"});
            break;
        case undertaking::planned_stop:
            // The instance still answers its successors while it leaves.
            std::erase(m_world.live, instance_id{"k0"});
            break;
        case undertaking::target_returns:
            restart_target(m_world, 0);
            break;
        }
    }

    auto wait_for_step(std::uint64_t steps) -> void {
        const auto from = m_world.events;
        const auto until = m_world.now + step_patience;
        while (m_world.events - from < steps && m_world.now < until && m_broken.empty()) {
            tick();
        }
    }

    auto heal_later(std::function<void(ownership_world&)> undo) -> void {
        m_healings.push_back({m_world.now + fault_length, std::move(undo)});
    }

    auto give_up_keeper(std::size_t keeper) -> void {
        const auto id = m_world.keepers[keeper].state.self;
        std::erase(m_world.live, id);
        heal_later([id, keeper](auto& world) {
            // One that was killed meanwhile does not come back; its replacement has another identity.
            if (!world.keepers[keeper].down) {
                world.live.push_back(id);
            }
        });
    }

    /// Strikes process 0 of its kind, and process 2, which is in the same data centre, if that is gone
    /// already.
    auto strike(fault what) -> void {
        const auto keeper = m_world.keepers[0].down || m_world.keepers[0].paused ? 2U : 0U;
        const auto target = m_world.targets[0].down || m_world.targets[0].frozen ? 2U : 0U;
        const auto controller = m_world.controllers[0].down || m_world.controllers[0].paused ? 2U : 0U;
        switch (what) {
        case fault::none:
            break;
        case fault::target_killed:
            kill_target(m_world, target);
            heal_later([target](auto& world) { restart_target(world, target); });
            break;
        case fault::target_restarted:
            restart_target(m_world, target);
            break;
        case fault::target_frozen:
            m_world.targets[target].frozen = true;
            heal_later([target](auto& world) { world.targets[target].frozen = false; });
            break;
        case fault::keeper_killed:
            kill_keeper(m_world, keeper);
            heal_later([keeper](auto& world) { replace_keeper(world, keeper); });
            break;
        case fault::keeper_paused:
            m_world.keepers[keeper].paused = true;
            give_up_keeper(keeper);
            heal_later([keeper](auto& world) { world.keepers[keeper].paused = false; });
            break;
        case fault::keeper_cut_off:
            m_world.keepers[keeper].cut_off = true;
            give_up_keeper(keeper);
            heal_later([keeper](auto& world) { world.keepers[keeper].cut_off = false; });
            break;
        case fault::link_silent:
            for (std::size_t each = 0; each < m_world.targets.size(); ++each) {
                m_world.cut_links.insert({keeper, each});
            }
            heal_later([](auto& world) { world.cut_links.clear(); });
            break;
        case fault::controller_killed:
            m_world.controllers[controller].down = true;
            heal_later([controller](auto& world) { replace_controller(world, controller); });
            break;
        case fault::controller_paused:
            m_world.controllers[controller].paused = true;
            heal_later([controller](auto& world) { world.controllers[controller].paused = false; });
            break;
        case fault::store_down:
            m_world.store_down = true;
            heal_later([](auto& world) { world.store_down = false; });
            break;
        case fault::replies_lost:
            m_world.lose_replies += 3;
            break;
        case fault::operators_race: {
            auto& state = m_world.config.targets.at(target_id{"t1"}).state;
            state = state == target_state::in ? target_state::draining : target_state::in;
            break;
        }
        }
    }

    auto tick() -> void {
        std::erase_if(m_healings, [&](const auto& each) {
            const auto due = m_world.now >= each.due;
            if (due) {
                each.undo(m_world);
            }
            return due;
        });
        run_tick(m_world);
        if (m_broken.empty()) {
            m_broken = broken_promise(m_world);
        }
    }

    auto run_until(instant until) -> void {
        while (m_world.now < until && m_broken.empty()) {
            tick();
        }
    }

    const matrix_cell& m_cell;
    ownership_world m_world;
    std::vector<healing> m_healings;
    std::string m_broken;
};

} // namespace

auto to_text(const matrix_cell& cell) -> std::string {
    auto text = std::string{name_in(undertaking_names, cell.what)} + ": " +
                std::string{name_in(fault_names, cell.first)} + " at step " + std::to_string(cell.first_step);
    if (cell.second != fault::none) {
        text += ", then " + std::string{name_in(fault_names, cell.second)} + " " +
                std::to_string(cell.second_step) + " steps later";
    }
    return text + (cell.checks_fence ? "" : ", targets check nothing");
}

auto run_cell(const matrix_cell& cell) -> std::string {
    return cell_run{cell}.run();
}

} // namespace teaselcross::test
