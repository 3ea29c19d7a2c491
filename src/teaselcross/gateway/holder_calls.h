#pragma once

// Calls of the controller to the targets that hold keys.

#include "http/exchange.h"
#include "ownership/holder_command.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace teaselcross {

/// A release and the answer to it.
struct release_answer {
    holder_command release;
    command_result result = command_result::unanswered;
    std::string handover;
};

/// A grant on its connection, whose answer is read even if it comes after the time limit of the call: the
/// answer tells that the target has read the grant. Not thread safe.
class grant_exchange {
public:
    grant_exchange(open_answer opened, holder_command grant, std::string host);

    /// Sends the grant and begins to read the answer. Returns false if the grant could not be sent within
    /// @a timeout; the target may then have received it in part. @a reading_limit ends the reading.
    static auto begin(std::shared_ptr<grant_exchange> self, duration timeout, duration reading_limit)
        -> boost::asio::awaitable<bool>;
    /// Waits until the answer was read, the connection has ended or @a until has passed.
    auto wait(instant until) -> boost::asio::awaitable<void>;
    /// Sends @a release behind the grant, so that the target reads it afterwards. Does nothing once the
    /// reading has ended.
    static auto send_behind(std::shared_ptr<grant_exchange> self, holder_command release, duration timeout)
        -> boost::asio::awaitable<void>;
    /// Reads the answer to the next release that was sent behind the grant. Returns nothing if there is none.
    /// @pre has_ended(), and the last answer was read
    auto read_release(duration timeout) -> boost::asio::awaitable<std::optional<release_answer>>;
    /// Closes the connection, which ends the reading.
    auto abort() -> void;

    auto has_ended() const -> bool { return m_has_ended; }
    /// What the answer says; `unanswered` if the connection has ended without one.
    /// @pre has_ended()
    auto result() const -> command_result;
    /// Returns the connection to @a pool if nothing more is awaited on it, and closes it otherwise.
    /// @pre has_ended()
    auto release_to(connection_pool& pool) -> void;

private:
    static auto read(std::shared_ptr<grant_exchange> self, duration limit) -> boost::asio::awaitable<void>;

    open_answer m_opened;
    holder_command m_grant;
    std::string m_host;
    boost::asio::steady_timer m_end;     ///< Cancelled when the reading has ended.
    std::deque<holder_command> m_unsent; ///< Releases to be sent behind the grant.
    std::deque<holder_command> m_sent;   ///< Releases behind the grant that were not answered.
    bool m_is_sending = false;
    bool m_has_ended = false;
    bool m_is_received = false;
};

/// Why an order was not sent.
enum class not_sent_reason {
    none,             ///< It was sent.
    no_address,       ///< The process that it names is not listed any more.
    too_many_overdue, ///< The target may still read too many earlier grants.
    probe_unanswered, ///< The target did not answer the call before the grant.
    refused,          ///< The target's address refuses connections.
    unreachable,      ///< No connection in time.
    no_right,         ///< The term, or the right to send orders, has ended meanwhile.
};
constexpr enum_table<not_sent_reason, 7> not_sent_reason_names{
    "none", "no_address", "too_many_overdue", "probe_unanswered", "refused", "unreachable", "no_right"};

struct holder_answer {
    command_result result = command_result::not_sent;
    not_sent_reason not_sent = not_sent_reason::none; ///< If the result is `not_sent`.
    std::string handover;                             ///< Of a release that was acknowledged.
    instant sent{};                                   ///< When the order was sent, or was to be sent.
    std::shared_ptr<grant_exchange> overdue;          ///< If the result is `overdue`.
};

struct holder_call {
    endpoint address;
    holder_command order;
    /// Sent before the order, which is not sent unless it is answered. It must have no effect.
    std::optional<holder_command> probe;
    duration timeout{};              ///< For the probe, and for the order once it is sent.
    std::function<bool()> may_begin; ///< Whether orders may be sent, asked right before each of them.
    std::function<void()> on_begin;  ///< Called right before the order is sent.
    /// For how long the answer to a grant is awaited in all. If that is longer than the timeout, a grant
    /// without an answer is `overdue` and not aborted.
    duration reading_limit{};
};

/// Sends an order to a target and reads the answer. An order that was not answered in time is aborted, unless
/// its answer is still awaited; the target may have carried it out, or may do so later. Not thread safe, like
/// @a pool, which must outlive the call.
auto call_holder(connection_pool& pool, holder_call call) -> boost::asio::awaitable<holder_answer>;

} // namespace teaselcross
