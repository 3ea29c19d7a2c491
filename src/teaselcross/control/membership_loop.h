#pragma once

// The I/O of the membership protocol: UDP probes, joining through the platform's list of instances, and
// notification of changes.

#include "control/instance_context.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace teaselcross {

/// Runs the failure detector of this instance. Lives on the control thread.
class membership_loop {
public:
    explicit membership_loop(instance_context& instance);

    /// Binds the socket and starts. Throws boost::system::system_error when the address is in use.
    auto start() -> void;
    /// Tells the other members that this instance leaves.
    auto leave() -> void;

    auto state() -> detector& { return m_detector; }
    auto state() const -> const detector& { return m_detector; }

    /// The member with ID @a id, which may be this instance; null when unknown.
    auto find(const instance_id& id) const -> const member*;
    /// Whether @a id is known and neither dead nor left; a suspected member counts as live.
    auto is_live(const instance_id& id) const -> bool;
    /// Whether the platform's list has contained the instance of @a id before and did not contain it at the
    /// last read.
    auto is_delisted(const instance_id& id) const -> bool;

    /// Merges members received from a peer.
    auto merge_members(const std::vector<member>& members) -> void;

private:
    auto receive() -> void;
    auto tick() -> void;
    auto apply(const detector_result& result) -> void;
    auto list_read_delay() const -> duration;
    auto read_platform_list() -> void;
    auto join(const std::vector<member>& listed) -> void;
    auto request_members(const member_address& address) -> void;

    instance_context& m_instance;
    detector m_detector;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer{};
    boost::asio::steady_timer m_timer;
    instant m_next_list_read{};
    std::set<std::string> m_listed;      ///< Names of the instances in the list that was read last.
    std::set<std::string> m_ever_listed; ///< Names of all instances that were ever listed.
};

} // namespace teaselcross
