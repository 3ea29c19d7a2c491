#pragma once

// Membership on the wire: probes over UDP, joining from the platform's list, and what changed.

#include "control/instance_context.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace teaselcross {

/// Runs the detector of this instance. Lives on the control thread.
class membership_loop {
public:
    explicit membership_loop(instance_context& instance);

    /// Binds the socket and starts. Throws boost::system::system_error when the address is taken.
    auto start() -> void;
    /// Tells the others that this instance leaves.
    auto leave() -> void;

    auto state() -> detector& { return m_detector; }
    auto state() const -> const detector& { return m_detector; }

    /// The member called @a id, this instance included; null when unknown.
    auto find(const instance_id& id) const -> const member*;
    /// Whether @a id is believed to be at work.
    auto is_live(const instance_id& id) const -> bool;
    /// Whether the platform's list once had the instance of @a id and, when last read, had it no longer.
    auto is_delisted(const instance_id& id) const -> bool;

    /// Merges members learned from a peer.
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
    std::set<std::string> m_listed;      ///< Names of instances.
    std::set<std::string> m_ever_listed; ///< All names that were ever in the list.
};

} // namespace teaselcross
