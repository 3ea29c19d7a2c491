#include "target_standin.h"

#include "query.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>

namespace teaselcross::lab {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto warm_up_requests = std::uint64_t{30}; ///< Requests after which one more can be borne.
constexpr auto collapse = 10.0;                      ///< How much slower an overfed target is.
constexpr auto frozen_poll = std::chrono::milliseconds{20};

auto number_of(const http_request& request, const char* name) -> std::uint64_t {
    const auto text = request[name];
    auto value = std::uint64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

auto run_record::repeated() const -> std::uint64_t {
    return static_cast<std::uint64_t>(std::count_if(operations.begin(), operations.end(),
                                                    [](const auto& each) { return each.second > 1; }));
}

target_standin::target_standin(target_fleet& fleet, asio::io_context& context, target_shape shape,
                               std::uint64_t seed)
    : m_fleet{fleet}, m_context{context}, m_shape{std::move(shape)}, m_random{seed} {}

auto target_standin::start() -> void {
    begin_process();
}

auto target_standin::begin_process() -> void {
    m_down = false;
    m_incarnation = m_random() >> 12U;
    m_epoch = 0;
    m_nonce = 0;
    m_expiry = {};
    m_held.clear();
    m_done_since_start = 0;
    m_in_flight = 0;
    if (m_server) {
        m_past_servers.push_back(std::move(m_server));
    }
    m_server = std::make_unique<http_server>(
        m_context.get_executor(), server_options{.host = m_shape.host, .port = m_shape.port},
        [this](responder& from, http_request request) { return handle(from, std::move(request)); });
    m_server->start();
}

auto target_standin::holds(std::uint32_t shard) const -> bool {
    return !m_down && m_held.contains(shard) && clock::now() < m_expiry;
}

auto target_standin::held() const -> std::vector<std::uint32_t> {
    auto shards = std::vector<std::uint32_t>{};
    if (!m_down && clock::now() < m_expiry) {
        for (const auto& [shard, fence] : m_held) {
            shards.push_back(shard);
        }
    }
    return shards;
}

auto target_standin::apply_fault(const std::string& kind, double value) -> void {
    if (kind == "freeze") {
        m_frozen = true;
    } else if (kind == "thaw") {
        m_frozen = false;
    } else if (kind == "slow") {
        m_slowness = value;
    } else if (kind == "cold") {
        m_done_since_start = 0;
    } else if (kind == "report") {
        m_reported_load = value;
    } else if (kind == "kill" && !m_down) {
        m_down = true;
        m_held.clear();
        m_server->abort();
    } else if (kind == "restart") {
        if (!m_down) {
            m_server->abort();
        }
        begin_process();
    }
}

auto target_standin::report() const -> nlohmann::json {
    return {{"name", m_shape.name},
            {"most_in_flight", m_most_in_flight},
            {"held", m_held.size()},
            {"down", m_down}};
}

auto target_standin::wait_while_frozen() -> asio::awaitable<void> {
    auto timer = asio::steady_timer{m_context};
    while (m_frozen) {
        timer.expires_after(frozen_poll);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto target_standin::handle(responder& from, http_request request) -> asio::awaitable<bool> {
    // What was sent to a frozen target lies in its socket and is read when it returns.
    co_await wait_while_frozen();
    if (m_down) {
        co_return false;
    }
    const auto path = std::string{request.target()};
    if (path == "/control/grant") {
        co_return co_await write_answer(from, grant(request));
    }
    if (path == "/control/load") {
        const auto load = m_reported_load >= 0 ? m_reported_load : static_cast<double>(m_in_flight);
        const auto body = "{\"load\": " + std::to_string(load) + "}";
        co_return co_await write_answer(from, json_answer(request, http::status::ok, body));
    }
    co_return co_await work(from, std::move(request));
}

auto target_standin::grant(const http_request& request) -> http_response {
    const auto document = nlohmann::json::parse(request.body(), nullptr, false);
    const auto field = [&](const char* name) { return document.value(name, std::uint64_t{0}); };
    auto result = std::string{"accepted"};
    if (m_shape.checks_fence && field("epoch") < m_epoch) {
        result = "old_epoch";
    } else if (field("incarnation") != 0 && field("incarnation") != m_incarnation) {
        result = "other_incarnation";
    } else if (field("nonce") != 0 && (field("nonce") != m_nonce || field("epoch") != m_epoch)) {
        result = "old_nonce";
    }
    if (result == "accepted") {
        m_epoch = field("epoch");
        if (field("nonce") != 0) {
            m_expiry = m_nonce_drawn + std::chrono::milliseconds{field("term_ms")};
            m_held.clear();
            for (const auto& pair : document.at("shards")) {
                m_held[pair.at(0).get<std::uint32_t>()] = pair.at(1).get<std::uint64_t>();
            }
        }
        ++m_nonce;
        m_nonce_drawn = clock::now();
    } else {
        ++m_fleet.record().refused_fence;
    }
    return json_answer(
        request, http::status::ok,
        nlohmann::json{{"result", result}, {"incarnation", m_incarnation}, {"nonce", m_nonce}}.dump());
}

auto target_standin::refusal(const http_request& request, const std::string& reason) -> http_response {
    auto answer =
        json_answer(request, http::status::service_unavailable, nlohmann::json{{"reason", reason}}.dump());
    answer.set("Teaselcross-Outcome", "not-run");
    answer.set("Teaselcross-Request-Id", std::string{request["Teaselcross-Request-Id"]});
    return answer;
}

auto target_standin::bearable() const -> std::uint32_t {
    const auto warmed = static_cast<std::uint32_t>(m_done_since_start / warm_up_requests);
    return std::min(m_shape.slots, m_shape.cold_slots + warmed);
}

auto target_standin::work_time() -> clock::duration {
    auto spread = std::gamma_distribution<double>{4.0, 0.25};
    auto milliseconds = m_shape.work_ms * spread(m_random) * m_slowness;
    if (m_in_flight > bearable()) {
        ++m_fleet.record().overfed;
        milliseconds *= collapse;
    }
    return std::chrono::microseconds{static_cast<std::int64_t>(milliseconds * 1000)};
}

auto target_standin::check_ownership(std::uint32_t shard, std::uint64_t fence) -> void {
    auto& record = m_fleet.record();
    if (m_fleet.other_holders(*this, shard) > 0) {
        ++record.two_owners;
    }
    auto& last = record.last_fence[{m_shape.service, shard}];
    if (fence < last) {
        ++record.stale_fence;
    }
    last = std::max(last, fence);
}

auto target_standin::work(responder& from, http_request request) -> asio::awaitable<bool> {
    auto& record = m_fleet.record();
    const auto keyed = request.count("Teaselcross-Shard") > 0;
    const auto shard = static_cast<std::uint32_t>(number_of(request, "Teaselcross-Shard"));
    const auto fence = number_of(request, "Teaselcross-Fence");
    if (m_shape.checks_fence) {
        const auto held = m_held.find(shard);
        const auto wrong = keyed && (!holds(shard) || held->second != fence);
        if (wrong || number_of(request, "Teaselcross-Epoch") < m_epoch) {
            ++record.refused_fence;
            co_return co_await write_answer(from, refusal(request, "fence"));
        }
    }
    const auto incarnation = m_incarnation;
    ++m_in_flight;
    m_most_in_flight = std::max(m_most_in_flight, m_in_flight);
    ++record.requests;
    ++record.by_target[m_shape.name];
    if (keyed) {
        check_ownership(shard, fence);
    }
    if (request.method() == http::verb::post) {
        ++record.operations[std::string{request["Idempotency-Key"]}];
    }
    auto timer = asio::steady_timer{m_context, work_time()};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await wait_while_frozen();
    if (m_down || incarnation != m_incarnation) {
        co_return false;
    }
    --m_in_flight;
    ++m_done_since_start;
    auto answer = http_response{http::status::ok, request.version()};
    answer.set(http::field::content_type, "text/plain");
    answer.set("Teaselcross-Request-Id", std::string{request["Teaselcross-Request-Id"]});
    const auto query = parse_query(std::string{request.target()});
    const auto bytes = query.number("bytes").value_or(0);
    // The caller knows its own answer by the word it sent.
    answer.body() = std::string{request["X-Word"]} + "\n";
    if (bytes > 0) {
        answer.body().resize(bytes, 'p');
    }
    answer.prepare_payload();
    co_return co_await write_answer(from, std::move(answer));
}

target_fleet::target_fleet(asio::io_context& context, const std::string& host, std::uint16_t port,
                           const std::vector<target_shape>& shapes, std::uint64_t seed)
    : m_context{context}, m_server{context.get_executor(),
                                   {.host = host, .port = port},
                                   [this](responder& from, http_request request) {
                                       return administer(from, std::move(request));
                                   }} {
    for (const auto& shape : shapes) {
        m_targets.push_back(std::make_unique<target_standin>(*this, context, shape, seed + m_targets.size()));
    }
}

auto target_fleet::start() -> void {
    for (const auto& each : m_targets) {
        each->start();
    }
    m_server.start();
    asio::co_spawn(m_context, patrol(), asio::detached);
}

auto target_fleet::patrol() -> asio::awaitable<void> {
    auto timer = asio::steady_timer{m_context};
    while (true) {
        timer.expires_after(std::chrono::milliseconds{10});
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto seen = std::set<std::pair<std::string, std::uint32_t>>{};
        for (const auto& each : m_targets) {
            for (const auto shard : each->held()) {
                if (!seen.emplace(each->shape().service, shard).second) {
                    ++m_record.two_owners;
                }
            }
        }
    }
}

auto target_fleet::other_holders(const target_standin& asking, std::uint32_t shard) const -> std::size_t {
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [&](const auto& each) {
        return each.get() != &asking && each->shape().service == asking.shape().service && each->holds(shard);
    }));
}

auto target_fleet::administer(responder& from, http_request request) -> asio::awaitable<bool> {
    if (request.target() == "/lab/fault") {
        const auto fault = nlohmann::json::parse(request.body());
        auto met = 0;
        for (const auto& each : m_targets) {
            if (each->shape().name == fault.at("target").get<std::string>()) {
                each->apply_fault(fault.at("kind").get<std::string>(), fault.value("value", 1.0));
                ++met;
            }
        }
        co_return co_await write_answer(
            from, json_answer(request, met > 0 ? http::status::ok : http::status::not_found, "{}\n"));
    }
    auto targets = nlohmann::json::array();
    for (const auto& each : m_targets) {
        targets.push_back(each->report());
    }
    const auto body = nlohmann::json{{"requests", m_record.requests},
                                     {"operations", m_record.operations.size()},
                                     {"repeated_operations", m_record.repeated()},
                                     {"overfed", m_record.overfed},
                                     {"refused_fence", m_record.refused_fence},
                                     {"two_owners", m_record.two_owners},
                                     {"stale_fence", m_record.stale_fence},
                                     {"by_target", m_record.by_target},
                                     {"targets", targets}};
    co_return co_await write_answer(from, json_answer(request, http::status::ok, body.dump() + "\n"));
}

auto read_target_shapes(const nlohmann::json& document) -> std::vector<target_shape> {
    auto shapes = std::vector<target_shape>{};
    for (const auto& entry : document) {
        shapes.push_back({.name = entry.at("name").get<std::string>(),
                          .host = entry.at("host").get<std::string>(),
                          .port = entry.at("port").get<std::uint16_t>(),
                          .service = entry.at("service").get<std::string>(),
                          .slots = entry.at("slots").get<std::uint32_t>(),
                          .cold_slots = entry.at("cold_slots").get<std::uint32_t>(),
                          .checks_fence = entry.at("checks_fence").get<bool>(),
                          .work_ms = entry.at("work_ms").get<double>()});
    }
    return shapes;
}

} // namespace teaselcross::lab
