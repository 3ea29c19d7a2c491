#include "gateway/peers.h"

#include "gateway/object_list.h"
#include "logging/log.h"
#include "platform/messages.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;

namespace {

constexpr auto register_timeout = duration{std::chrono::seconds{3}};
constexpr auto startup_interval = duration{std::chrono::milliseconds{400}};
/// A relayed watch may wait as long as a direct one.
constexpr auto relay_timeout = duration{std::chrono::milliseconds{9500}};
constexpr auto max_relayed_bytes = std::size_t{16} * 1024 * 1024;
constexpr auto last_port = std::numeric_limits<std::uint16_t>::max();

auto make_record(const gateway_settings& settings, std::uint64_t start_time_ms) -> std::string {
    return json{{"data_centre", settings.data_centre.value()},
                {"host", settings.callers.host},
                {"port", settings.first_internal_port},
                {"processor", settings.cpu_share},
                {"birth", start_time_ms}}
        .dump();
}

/// The kind that a request of a follower names; empty if it names none.
auto kind_of(const json& query) -> std::string {
    const auto is_named = query.is_object() && query.contains("kind") && query.at("kind").is_string();
    return is_named ? query.at("kind").get<std::string>() : std::string{};
}

/// Lists all instances. Returns false if the store could not be read.
auto list_instances(cluster_state& cluster, store_access& store, bool stale) -> asio::awaitable<bool> {
    const auto list = co_await read_object_list(store, platform::kinds::instances, stale);
    if (list.pages.empty()) {
        co_return false;
    }
    auto records = std::vector<instance_record>{};
    for (const auto& page : list.pages) {
        for (const auto& object : page.objects) {
            if (auto record = parse_instance_record(object)) {
                records.push_back(std::move(*record));
            }
        }
    }
    log::info("instances_listed", {{"count", records.size()}, {"stale", stale}});
    cluster.note_era(store.era(), monotonic_now()); // The list may lack those that a restore has lost.
    cluster.set_instances(std::move(records));
    co_return true;
}

auto is_listed(const cluster_state& cluster, const std::string& instance) -> bool {
    const auto& instances = cluster.instances();
    return std::any_of(instances.begin(), instances.end(),
                       [&instance](const auto& each) { return each.name == instance; });
}

} // namespace

auto parse_instance_record(const store_object& object) -> std::optional<instance_record> {
    const auto document = json::parse(object.value, nullptr, false);
    const auto number = [&document](const char* field, std::uint64_t largest) {
        const auto& value = document.at(field);
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > largest) {
            throw std::out_of_range{std::string{"not a number in range: "} + field};
        }
        return value.get<std::uint64_t>();
    };
    try {
        return instance_record{.name = object.key.substr(object.key.find('/') + 1),
                               .data_centre = data_centre_id{document.at("data_centre").get<std::string>()},
                               .internal = {.host = document.at("host").get<std::string>(),
                                            .port = static_cast<std::uint16_t>(number("port", last_port))},
                               .cpu_share = document.at("processor").get<double>(),
                               .start_time_ms = number("birth", std::numeric_limits<std::uint64_t>::max())};
    } catch (const std::exception& fault) {
        log::warning("instance_unreadable", {{"object", object.key}, {"fault", fault.what()}});
        return std::nullopt;
    }
}

auto register_self(const gateway_settings& settings, store_access& store, std::uint64_t start_time_ms)
    -> asio::awaitable<void> {
    const auto value = make_record(settings, start_time_ms);
    const auto is_own_value = [&value](const std::string& found) {
        return json::parse(found, nullptr, false) == json::parse(value);
    };
    // A restarted process finds the record of its predecessor, and no other instance writes it.
    auto call =
        store_call{.kind = settings.is_first_start ? store_call_kind::create : store_call_kind::update,
                   .key = std::string{platform::kinds::instances} + "/" + settings.instance,
                   .value = value};
    while (true) {
        const auto reply = co_await store.write(call, is_own_value, register_timeout);
        if (reply.status == store_status::ok) {
            co_return;
        }
        if (reply.status == store_status::conflict) {
            call.kind = store_call_kind::update;
        } else if (reply.status == store_status::missing) {
            call.kind = store_call_kind::create;
        } else {
            co_await sleep_for(startup_interval);
        }
    }
}

auto register_and_list_instances(const gateway_settings& settings, cluster_state& cluster,
                                 store_access& store, std::uint64_t start_time_ms) -> asio::awaitable<void> {
    co_await register_self(settings, store, start_time_ms);
    if (settings.is_first_start) {
        co_await sleep_for(startup_interval); // All instances start at about the same time.
    }
    // A stale list is good enough if it is not older than this instance's own record.
    static_cast<void>(co_await list_instances(cluster, store, true));
    if (!is_listed(cluster, settings.instance)) {
        static_cast<void>(co_await list_instances(cluster, store, false));
    }
}

peer_service::peer_service(const gateway_settings& settings, store_access& store,
                           gateway_controller& own_controller, quota_service& quotas, load_sharing& sharing,
                           metrics& measured)
    : m_settings{settings}, m_store{store},
      m_controller{own_controller}, m_quotas{quotas}, m_sharing{sharing}, m_measured{measured} {}

auto peer_service::relay(responder& link, const http_request& request) -> asio::awaitable<bool> {
    if (!m_store.is_healthy()) {
        // Refuse at once, so that the peer tries another instance instead of waiting for a timeout.
        auto refusal = http_response{http::status::service_unavailable, 11};
        refusal.prepare_payload();
        co_return co_await write_answer(link, std::move(refusal));
    }
    auto forwarded = http_request{http::verb::get, request.target(), 11};
    forwarded.set(http::field::host, m_settings.store.host);
    auto store = m_settings.store;
    auto answer = co_await perform_exchange(m_store.pool(), std::move(store), std::move(forwarded),
                                            relay_timeout, max_relayed_bytes);
    auto response = answer ? std::move(*answer) : http_response{http::status::service_unavailable, 11};
    response.prepare_payload();
    co_return co_await write_answer(link, std::move(response));
}

auto peer_service::handle(responder& link, http_request request) -> asio::awaitable<bool> {
    const auto target = std::string{request.target().data(), request.target().size()};
    if (platform::is_store_read(request)) {
        co_return co_await relay(link, request);
    }
    auto response = http_response{http::status::ok, 11};
    if ((target == follow_path || target == compare_path) && request.method() == http::verb::post) {
        const auto query = json::parse(request.body(), nullptr, false);
        const auto found = m_followers.find(kind_of(query));
        if (found != m_followers.end() && target == follow_path) {
            response.body() = co_await found->second->answer_follower(std::move(request.body()));
        } else if (found != m_followers.end()) {
            response.body() = found->second->answer_comparison(query);
        }
    } else if (target == copy_exchange_path && request.method() == http::verb::post &&
               m_exchange != nullptr) {
        response.body() = m_exchange->answer(request.body());
    } else if (target == controller_paths::report && request.method() == http::verb::post) {
        response.body() = m_controller.on_report(request.body());
    } else if (target == quota_path && request.method() == http::verb::post) {
        response.body() = m_quotas.on_query(request.body());
    } else if (target == controller_paths::resign && request.method() == http::verb::post) {
        response.body() = m_controller.on_resign_request(request.body());
    } else if (target == controller_paths::announce && request.method() == http::verb::post) {
        response.body() = m_controller.on_controller_announcement(request.body());
    } else if (target == load_exchange_path && request.method() == http::verb::post) {
        response.body() = m_sharing.answer(request.body());
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
