#include "gateway/peers.h"

#include "logging/log.h"
#include "platform/messages.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;

namespace {

constexpr auto give_up = duration{std::chrono::seconds{3}};
/// Between two looks at the list once it has settled; the price of a stale read is a tenth of a call.
constexpr auto list_interval = duration{std::chrono::seconds{4}};
constexpr auto first_interval = duration{std::chrono::milliseconds{400}};
/// With fewer instances listed, the fleet is likely to be starting.
constexpr auto full_list = std::size_t{8};
/// A relayed watch may wait as long as the one who asked.
constexpr auto relay_timeout = duration{std::chrono::milliseconds{9500}};
constexpr auto largest_relayed = std::size_t{16} * 1024 * 1024;

auto record_of(const gateway_settings& options, std::uint64_t birth) -> std::string {
    return json{{"data_centre", options.data_centre.value()},
                {"host", options.callers.host},
                {"port", options.first_internal_port},
                {"processor", options.processor},
                {"birth", birth}}
        .dump();
}

auto parse_record(const store_object& object) -> std::optional<instance_record> {
    const auto document = json::parse(object.value, nullptr, false);
    try {
        return instance_record{.name = object.key.substr(object.key.find('/') + 1),
                               .data_centre = data_centre_id{document.at("data_centre").get<std::string>()},
                               .internal = {.host = document.at("host").get<std::string>(),
                                            .port = document.at("port").get<std::uint16_t>()},
                               .processor = document.at("processor").get<double>(),
                               .birth = document.at("birth").get<std::uint64_t>()};
    } catch (const json::exception& fault) {
        log::warning("instance_unreadable", {{"object", object.key}, {"fault", fault.what()}});
        return std::nullopt;
    }
}

/// Writes this instance's own record, whatever an earlier process of the same name left there.
auto register_self(const gateway_settings& options, store_access& store, std::uint64_t birth)
    -> asio::awaitable<void> {
    const auto value = record_of(options, birth);
    const auto same = [&value](const std::string& found) {
        return json::parse(found, nullptr, false) == json::parse(value);
    };
    auto call = store_call{.kind = store_call_kind::create,
                           .key = std::string{platform::kinds::instances} + "/" + options.instance,
                           .value = value};
    while (true) {
        auto reply = co_await store.write(call, same, give_up);
        if (reply.status == store_status::ok) {
            co_return;
        }
        if (reply.status == store_status::conflict) {
            auto get = store_call{.kind = store_call_kind::get, .key = call.key};
            const auto found = co_await store.call_directly(std::move(get));
            if (found.status == store_status::ok) {
                call.kind = store_call_kind::update;
                call.expected_version = found.version;
                continue;
            }
        } else if (reply.status == store_status::missing) {
            call.kind = store_call_kind::create;
        }
        co_await pause_for(first_interval);
    }
}

auto list_instances(knowledge& known, store_access& store, bool stale) -> asio::awaitable<void> {
    auto call =
        store_call{.kind = store_call_kind::list, .key = platform::kinds::instances, .allow_stale = stale};
    const auto reply = co_await store.read(std::move(call));
    if (reply.status != store_status::ok) {
        co_return;
    }
    auto records = std::vector<instance_record>{};
    for (const auto& object : reply.objects) {
        if (auto record = parse_record(object)) {
            records.push_back(std::move(*record));
        }
    }
    if (records.size() != known.instances().size()) {
        log::info("instances_listed", {{"count", records.size()}});
    }
    known.set_instances(std::move(records));
}

} // namespace

auto find_instances(const gateway_settings& options, knowledge& known, store_access& store,
                    std::uint64_t birth) -> asio::awaitable<void> {
    co_await register_self(options, store, birth);
    co_await list_instances(known, store, false);
    if (known.instances().size() < full_list) {
        co_await pause_for(first_interval);
        co_await list_instances(known, store, false);
    }
}

auto keep_instances(knowledge& known, store_access& store) -> asio::awaitable<void> {
    co_await pause_for(first_interval);
    while (true) {
        co_await list_instances(known, store, true);
        co_await pause_for(list_interval);
    }
}

peer_service::peer_service(const gateway_settings& options, store_access& store, controller& control,
                           metrics& measured)
    : m_options{options}, m_store{store}, m_control{control}, m_measured{measured} {}

auto peer_service::relay(server_connection& link, const http_request& request) -> asio::awaitable<bool> {
    if (!m_store.healthy()) {
        // The one who asks tries another instance at once instead of waiting for this one's silence.
        auto refusal = http_response{http::status::service_unavailable, 11};
        refusal.prepare_payload();
        co_return co_await write_answer(link, std::move(refusal));
    }
    auto passed_on = http_request{http::verb::get, request.target(), 11};
    passed_on.set(http::field::host, m_options.store.host);
    auto store = m_options.store;
    auto answer = co_await perform_exchange(m_store.pool(), std::move(store), std::move(passed_on),
                                            relay_timeout, largest_relayed);
    auto response = answer ? std::move(*answer) : http_response{http::status::service_unavailable, 11};
    response.prepare_payload();
    co_return co_await write_answer(link, std::move(response));
}

auto peer_service::handle(server_connection& link, http_request request) -> asio::awaitable<bool> {
    const auto target = std::string{request.target().data(), request.target().size()};
    if (platform::is_store_read(request)) {
        co_return co_await relay(link, request);
    }
    auto response = http_response{http::status::ok, 11};
    if ((target == follow_path || target == compare_path) && request.method() == http::verb::post) {
        const auto asked = json::parse(request.body(), nullptr, false);
        const auto found =
            m_followers.find(asked.is_object() ? asked.value("kind", std::string{}) : std::string{});
        if (found != m_followers.end() && target == follow_path) {
            response.body() = co_await found->second->answer_follower(std::move(request.body()));
        } else if (found != m_followers.end()) {
            response.body() = found->second->answer_comparison(asked);
        }
    } else if (target == controller_paths::report && request.method() == http::verb::post) {
        response.body() = m_control.on_report(request.body());
    } else if (target == controller_paths::resign && request.method() == http::verb::post) {
        response.body() = m_control.on_resign_request(request.body());
    } else if (target == controller_paths::recognise && request.method() == http::verb::post) {
        response.body() = m_control.on_recognise(request.body());
    } else if (target == "/metrics") {
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = m_measured.to_text();
    } else {
        response.result(http::status::not_found);
    }
    response.prepare_payload();
    co_return co_await write_answer(link, std::move(response));
}

} // namespace teaselcross
