#pragma once

// A stand-in for the platform's store: objects with revisions, conditional writes, pages and watches.

#include "http/server.h"
#include "journal.h"

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
};

class store {
public:
    store(boost::asio::io_context& context, endpoint address, std::uint64_t seed);

    auto start() -> void { m_server.start(); }
    auto faults() -> store_faults& { return m_faults; }
    /// Forgets the history, so that watches have to list anew.
    auto compact() -> void;

    /// Writes and removes for the platform itself, whatever the faults.
    auto put(const std::string& kind, const std::string& name, nlohmann::json spec) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };
    struct call;

    auto handle(responder& from, http_request request) -> boost::asio::awaitable<bool>;
    auto read(const http_request& request, const call& asked) -> http_response;
    auto list(const http_request& request, const call& asked) -> http_response;
    auto watch(const http_request& request, const call& asked) -> boost::asio::awaitable<http_response>;
    auto write(const http_request& request, const call& asked) -> http_response;
    auto note(const std::string& kind, const nlohmann::json& object, bool deleted) -> void;
    auto pause(duration period) -> boost::asio::awaitable<void>;

    boost::asio::io_context& m_context;
    http_server m_server;
    std::mt19937_64 m_random;
    store_faults m_faults;
    std::uint64_t m_revision = 1;
    std::uint64_t m_forgotten = 0; ///< The latest revision that the history lacks.
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects; ///< By kind and name.
    std::deque<event> m_history;
};

} // namespace teaselcross::soak
