// Failure detection and dissemination among instances on a simulated network with link failures, in virtual
// time.

#include "membership/detector.h"

#include <gtest/gtest.h>

#include <set>

namespace teaselcross::test {

namespace {

/// Instances on one network. Each instance's membership port is its number.
class network {
public:
    explicit network(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            auto self = member{.id = make_instance_id("i" + std::to_string(index), 1),
                               .data_centre = data_centre_id{"dc"},
                               .address = {.host = "h", .membership_port = static_cast<std::uint16_t>(index)},
                               .incarnation = 1};
            m_nodes.push_back(make_detector(self, {}, index + 1));
        }
        for (auto& node : m_nodes) {
            for (const auto& other : m_nodes) {
                if (other.self.id != node.self.id) {
                    static_cast<void>(on_members(node, {other.self}, m_now));
                }
            }
        }
    }

    auto run(duration period) -> void {
        const auto until = m_now + period;
        while (m_now < until) {
            m_now += std::chrono::milliseconds{10};
            auto due = std::exchange(m_in_flight, {});
            for (const auto& [from, probe] : due) {
                deliver(from, probe);
            }
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                if (!silent.contains(index)) {
                    send(index, on_tick(m_nodes[index], m_now));
                }
            }
        }
    }

    auto state_at(std::size_t observer, std::size_t subject) const -> member_state {
        return m_nodes[observer].members.at(m_nodes[subject].self.id).state;
    }

    auto node(std::size_t index) -> detector& { return m_nodes[index]; }

    std::set<std::size_t> silent;                               ///< Paused or failed_links off.
    std::set<std::pair<std::size_t, std::size_t>> failed_links; ///< Pairs that cannot reach each other.
    std::uint64_t bytes = 0;                                    ///< Estimated size of the messages sent.

private:
    auto send(std::size_t from, const detector_result& result) -> void {
        for (const auto& probe : result.outgoing) {
            constexpr auto header = std::uint64_t{60};
            constexpr auto update = std::uint64_t{60};
            bytes += header + update * probe.message.updates.size();
            m_in_flight.emplace_back(from, probe);
        }
    }

    auto deliver(std::size_t from, const outgoing_probe& probe) -> void {
        const auto to = std::size_t{probe.to.membership_port};
        if (silent.contains(to) || failed_links.contains({from, to}) || failed_links.contains({to, from})) {
            return;
        }
        send(to, on_message(m_nodes[to], probe.message, m_now));
    }

    instant m_now{std::chrono::seconds{1}};
    std::vector<detector> m_nodes;
    std::vector<std::pair<std::size_t, outgoing_probe>> m_in_flight;
};

} // namespace

TEST(detector, all_members_mark_a_silent_member_dead_within_three_seconds) {
    auto world = network{12};
    world.run(std::chrono::seconds{2});
    world.silent.insert(5);
    world.run(std::chrono::seconds{3});
    for (std::size_t observer = 0; observer < 12; ++observer) {
        if (observer != 5) {
            EXPECT_EQ(world.state_at(observer, 5), member_state::dead) << observer;
        }
    }
}

TEST(detector, one_failed_link_marks_no_member_dead) {
    auto world = network{12};
    world.failed_links.insert({2, 3});
    world.run(std::chrono::seconds{20});
    for (std::size_t observer = 0; observer < 12; ++observer) {
        for (std::size_t subject = 0; subject < 12; ++subject) {
            if (observer != subject) {
                EXPECT_NE(world.state_at(observer, subject), member_state::dead) << observer << subject;
            }
        }
    }
}

TEST(detector, a_returning_member_refutes_its_dead_state) {
    auto world = network{12};
    world.silent.insert(5);
    world.run(std::chrono::seconds{5});
    world.silent.clear();
    world.run(std::chrono::seconds{15});
    for (std::size_t observer = 0; observer < 12; ++observer) {
        if (observer != 5) {
            EXPECT_EQ(world.state_at(observer, 5), member_state::alive) << observer;
        }
    }
}

TEST(detector, two_halves_rejoin_after_a_network_partition) {
    auto world = network{8};
    for (std::size_t left = 0; left < 4; ++left) {
        for (std::size_t right = 4; right < 8; ++right) {
            world.failed_links.insert({left, right});
        }
    }
    world.run(std::chrono::seconds{10});
    EXPECT_EQ(world.state_at(0, 7), member_state::dead);
    world.failed_links.clear();
    world.run(std::chrono::seconds{30});
    for (std::size_t observer = 0; observer < 8; ++observer) {
        for (std::size_t subject = 0; subject < 8; ++subject) {
            if (observer != subject) {
                EXPECT_EQ(world.state_at(observer, subject), member_state::alive) << observer << subject;
            }
        }
    }
}

TEST(detector, a_new_process_at_an_address_marks_the_previous_one_dead) {
    auto world = network{4};
    world.run(std::chrono::seconds{1});
    const auto old_identity = world.node(2).self.id;
    auto restarted = world.node(2).self;
    restarted.id = make_instance_id("i2", 2);
    world.node(2) = make_detector(restarted, {}, 99);
    static_cast<void>(on_members(world.node(2), {world.node(0).self}, instant{std::chrono::seconds{2}}));
    world.run(std::chrono::seconds{3});
    EXPECT_EQ(world.node(0).members.at(old_identity).state, member_state::dead);
    EXPECT_EQ(world.node(0).members.at(restarted.id).state, member_state::alive);
}

TEST(detector, a_configuration_version_reaches_all_members_within_two_seconds) {
    auto world = network{24};
    world.run(std::chrono::seconds{2});
    set_config_version(world.node(0), 9);
    world.run(std::chrono::seconds{2});
    for (std::size_t observer = 1; observer < 24; ++observer) {
        EXPECT_EQ(world.node(observer).members.at(world.node(0).self.id).config_version, 9U) << observer;
    }
}

} // namespace teaselcross::test
