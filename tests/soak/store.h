#pragma once

// A stand-in for the platform's store: objects with revisions, conditional writes, pages and watches. It can
// come back from an older copy of itself.

#include "http/server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <random>
#include <string>

namespace teaselcross::soak {

enum class store_mode { up, refusing, silent };

struct store_faults {
    store_mode mode = store_mode::up;
    duration delay{};
    double lost_answers = 0; ///< Share of writes that are done and not answered.
    double late_writes = 0;  ///< Share of the writes met with silence that are done after it, unanswered.
};

class store {
public:
    /// Lists have up to @a page_size objects a page.
    store(boost::asio::io_context& context, endpoint address, std::uint64_t seed, std::size_t page_size = 50);

    auto start() -> void { m_server.start(); }
    auto faults() -> store_faults& { return m_faults; }
    /// Forgets the history, so that watches have to list anew.
    auto compact() -> void;
    /// Goes back to the state of @a age ago and starts the next era. What the platform itself wrote since is
    /// written again, each object after a delay of up to @a rewrite_within. Watches that wait get 410.
    auto restore(duration age, duration rewrite_within) -> void;
    /// Calls that have arrived, answered or not.
    auto calls() const -> std::uint64_t { return m_calls; }
    /// Calls that were refused because their path or query is malformed.
    auto malformed_calls() const -> std::uint64_t { return m_malformed_calls; }
    auto era() const -> std::uint64_t { return m_era; }
    auto port() const -> std::uint16_t { return m_server.port(); }
    /// The specification of the object with the key KIND/NAME; null if there is none.
    auto spec(const std::string& key) const -> nlohmann::json;

    /// Writes and removes for the platform itself, whatever the faults.
    auto put(const std::string& kind, const std::string& name, nlohmann::json spec) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
        instant at{};
        nlohmann::json before; ///< The object that was replaced or removed; null if there was none.
    };
    struct call;

    auto handle(responder& from, http_request request) -> boost::asio::awaitable<bool>;
    auto read(const http_request& request, const call& asked) -> http_response;
    auto list(const http_request& request, const call& asked) -> http_response;
    auto watch(const http_request& request, const call& asked) -> boost::asio::awaitable<http_response>;
    auto write(const http_request& request, const call& asked) -> http_response;
    auto answer(responder& from, http_response response) -> boost::asio::awaitable<bool>;
    auto change(const std::string& kind, const std::string& name, nlohmann::json spec) -> void;
    auto erase(const std::string& kind, const std::string& name) -> void;
    auto note(const std::string& kind, const nlohmann::json& object, bool deleted, nlohmann::json before)
        -> void;
    auto rewrite(std::string kind, std::string name, duration delay) -> boost::asio::awaitable<void>;
    auto pause(duration period) -> boost::asio::awaitable<void>;

    boost::asio::io_context& m_context;
    http_server m_server;
    std::mt19937_64 m_random;
    store_faults m_faults;
    std::uint64_t m_revision = 1;
    std::uint64_t m_forgotten = 0; ///< The latest revision that the history lacks.
    std::uint64_t m_era = 1;
    std::uint64_t m_calls = 0;
    std::uint64_t m_malformed_calls = 0;
    std::size_t m_page_size;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects; ///< By kind and name.
    /// Specifications as the platform last wrote them, by kind and name; null where it removed the object.
    std::map<std::string, std::map<std::string, nlohmann::json>> m_platform_objects;
    std::deque<event> m_history;
};

} // namespace teaselcross::soak
