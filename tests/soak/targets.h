#pragma once

// Stand-ins for targets: they hold keys by fenced grants, run requests, and notice broken promises.

#include "http/server.h"
#include "journal.h"
#include "keyspace/key_map.h"
#include "store.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace teaselcross::soak {

/// News of a leaving target reach instances within the bound; what was sent before is on its way for a
/// moment.
constexpr auto drain_slack = duration{std::chrono::milliseconds{300}};

struct target_options {
    std::string id;
    std::string service;
    std::string data_centre;
    endpoint own;    ///< Where it listens.
    endpoint listed; ///< Where instances reach it, through a proxy.
    bool keyed = false;
    /// Its entry is written again only if more than its sequence number has changed.
    bool announces_changes_only = false;
    std::uint32_t slots = 4;
    std::uint32_t queue = 16;
    duration work = std::chrono::milliseconds{15};
};

class target_group;

class target {
public:
    target(target_group& group, target_options options);

    /// Starts, or starts again knowing nothing.
    auto start() -> void;
    /// Its process ends at once; its entry lapses later.
    auto crash() -> void;
    /// Announces that it leaves; the caller ends it with crash() when its time is over.
    auto drain() -> void;
    auto set_slowness(double factor) -> void { m_slowness = factor; }
    /// Suspends its process: what arrives waits in its sockets and is taken when it goes on.
    auto suspend() -> void { m_is_suspended = true; }
    auto resume() -> void { m_is_suspended = false; }
    auto is_suspended() const -> bool { return m_is_suspended; }
    /// Until @a until it reads each call only after a delay of its own, of @a longest at the most.
    auto read_late_until(instant until, duration longest) -> void {
        m_reads_late_until = until;
        m_longest_read_delay = longest;
    }
    /// Until @a until it leaves a share of the orders unanswered and carries them out late.
    auto carry_out_late_until(instant until, duration longest) -> void {
        m_carries_out_late_until = until;
        m_longest_order_delay = longest;
    }
    /// While it is cut off, its heartbeats do not arrive.
    auto set_cut_off(bool is_cut_off) -> void { m_is_cut_off = is_cut_off; }
    auto is_cut_off() const -> bool { return m_is_cut_off; }

    auto options() const -> const target_options& { return m_options; }
    auto up() const -> bool { return m_up; }
    /// Notes which instances must know by now that this target leaves; they may not forget it.
    auto note_informed_instances() -> void;
    /// The highest fence that it has ever taken for one of these keys, in all its lives.
    auto highest_fence(shard_key first, shard_key last) const -> std::uint64_t;
    /// Whether work on one of these keys goes on within the hold under which it began.
    auto works_on(shard_key first, shard_key last, instant now) const -> bool;
    auto holds(shard_key first, shard_key last, instant now, bool excused_too) const -> bool;
    /// How it came to hold these keys, for each of its grants.
    auto describe_holds(shard_key first, shard_key last, instant now) const -> std::string;
    /// A range that it and @a other both hold by their own clocks, if any; what a thawed instance sent late
    /// does not count, what they took late does. Says how both came to hold it.
    auto shared_range(const target& other, instant now) const -> std::optional<std::string>;
    /// Writes its entry, as its heartbeat does.
    auto announce() -> void;

private:
    struct grant {
        shard_key first = 0;
        shard_key last = 0;
        std::uint64_t fence = 0;
        instant until{};
        bool excused = false;        ///< Came just after its sender thawed or its link healed: doesn't count.
        bool was_taken_late = false; ///< Waited in its sockets: it was suspended or read late.
        duration late_by{};          ///< From its arrival until it was read.
        instant read_at{};
        bool is_of_earlier_process = false; ///< An earlier process of the target read this fence first.
    };

    /// A call as the target reads it.
    struct reading {
        instant arrived_at{};
        bool is_late = false;
        bool is_carried_out_late = false; ///< The term of a grant still counts from its arrival.
    };

    auto handle(responder& from, http_request request) -> boost::asio::awaitable<bool>;
    /// The time for which it leaves the next call in its socket.
    auto draw_read_delay() -> duration;
    /// The time after which it carries out the next order without an answer, if it does.
    auto draw_order_delay() -> std::optional<duration>;
    auto describe(const grant& held, instant now) const -> std::string;
    auto take_grant(const http_request& request, const reading& how) -> http_response;
    auto release(const http_request& request) -> boost::asio::awaitable<http_response>;
    auto work(responder& from, const http_request& request, bool is_late) -> boost::asio::awaitable<bool>;
    auto refusal(const http_request& request, boost::beast::http::status status) -> http_response;
    auto held_until(shard_key key) const -> instant;
    auto add_load(http_response& answer) -> void;
    auto drop_overlap(shard_key first, shard_key last, std::uint64_t most_fence) -> void;

    target_group& m_group;
    target_options m_options;
    std::unique_ptr<http_server> m_server;
    std::vector<std::unique_ptr<http_server>> m_past_servers;
    std::vector<grant> m_grants;
    struct key_work {
        std::uint32_t running = 0;
        instant held_until{}; ///< Of the grant under which the latest of them began.
    };

    std::map<shard_key, key_work> m_keys_at_work;
    std::vector<std::uint64_t> m_fences; ///< By key, the highest that this life has seen.
    std::vector<std::uint64_t> m_all_fences =
        std::vector<std::uint64_t>(last_shard_key + 1);         ///< Of all lives.
    std::set<std::pair<std::size_t, std::uint64_t>> m_informed; ///< Instances and their lives.
    std::uint64_t m_birth = 0;
    std::uint64_t m_life = 0;
    std::uint64_t m_sequence = 0;
    nlohmann::json m_announced; ///< Without the sequence number.
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    double m_slowness = 1;
    std::optional<instant> m_leaving_since;
    bool m_up = false;
    bool m_is_suspended = false;
    instant m_reads_late_until{};
    duration m_longest_read_delay{};
    instant m_carries_out_late_until{};
    duration m_longest_order_delay{};
    bool m_is_cut_off = false;
    instant m_started_at{};
    std::map<std::uint64_t, std::uint64_t> m_fence_lives; ///< The life that read each fence first.
};

/// All targets of a soak, which look out for one another's keys.
class target_group {
public:
    target_group(boost::asio::io_context& context, store& registry, journal& seen, duration drain,
                 std::uint64_t seed)
        : m_context{context}, m_registry{registry}, m_seen{seen}, m_drain{drain}, m_random{seed} {}

    auto add(target_options options) -> target&;
    auto all() -> std::vector<std::unique_ptr<target>>& { return m_targets; }
    /// The ways in which a grant to @a asking harms the other targets of its service; empty if it harms none.
    auto harm_of_grant(const target& asking, shard_key first, shard_key last, std::uint64_t fence,
                       instant now) const -> std::string;

    /// Reports two targets of a service that hold the same keys for over half a second, at work or not.
    auto check_overlaps(instant now) -> void;

    auto context() -> boost::asio::io_context& { return m_context; }
    auto registry() -> store& { return m_registry; }
    auto seen() -> journal& { return m_seen; }
    auto drain() const -> duration { return m_drain; }
    /// Records the order; one that is given while another holds changes nothing.
    auto take_out_of_service(const std::string& data_centre) -> void;
    auto return_to_service(const std::string& data_centre) -> void { m_out_since.erase(data_centre); }
    /// Whether the data centre has been out of service for longer than requests may still arrive.
    auto must_be_idle(const std::string& data_centre, instant now) const -> bool;
    auto random() -> std::mt19937_64& { return m_random; }

private:
    boost::asio::io_context& m_context;
    store& m_registry;
    journal& m_seen;
    duration m_drain;
    std::map<std::string, instant> m_out_since; ///< Data centres out of service.
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<target>> m_targets;
    struct overlap {
        instant since{};
        bool is_reported = false;
    };

    std::map<std::pair<std::string, std::string>, overlap> m_overlaps; ///< By the IDs of both.
};

} // namespace teaselcross::soak
