#include "gateway/load_sharing.h"

#include "core/rendezvous.h"
#include "gateway/peer_request.h"
#include "gateway/store_access.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

constexpr auto sharing_interval = duration{std::chrono::milliseconds{150}};
/// An instance without requests still learns how fast the targets usually are.
constexpr auto idle_interval = duration{std::chrono::seconds{3}};
constexpr auto active_time = duration{std::chrono::seconds{1}};
constexpr auto exchange_timeout = duration{std::chrono::milliseconds{300}};
/// How long an instance that did not answer is passed over as the exchange.
constexpr auto avoid_time = duration{std::chrono::seconds{2}};
/// Interval at which the group and the index of targets follow the cluster state.
constexpr auto update_interval = duration{std::chrono::seconds{1}};
constexpr auto max_message_bytes = std::size_t{64} * 1024;
constexpr auto min_group = std::size_t{4};
/// At 150 ms, 96 instances send 640 messages a second to their exchange.
constexpr auto max_group = std::size_t{96};

} // namespace

auto sharing_group(const std::vector<instance_record>& instances, const std::string& own,
                   const data_centre_id& data_centre) -> std::vector<instance_record> {
    auto group = std::vector<instance_record>{};
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(group),
                 [&](const auto& each) { return each.data_centre == data_centre; });
    const auto groups = (group.size() + max_group - 1) / max_group;
    if (groups > 1) {
        const auto number = hash_text(own) % groups;
        group.erase(std::remove_if(group.begin(), group.end(),
                                   [&](const auto& each) { return hash_text(each.name) % groups != number; }),
                    group.end());
    }
    if (group.size() < min_group) {
        return {};
    }
    std::sort(group.begin(), group.end(), instance_ranking{"load"});
    return group;
}

load_sharing::load_sharing(const gateway_settings& settings, cluster_state& cluster, metrics& measured,
                           asio::any_io_executor executor)
    : m_settings{settings}, m_cluster{cluster}, m_measured{measured},
      m_pool{std::move(executor), {.connect_timeout = std::chrono::milliseconds{150}, .idle_per_peer = 1}} {}

auto load_sharing::on_own_report(const target_view& view, const load_report& report, bool rejected,
                                 instant now) -> void {
    if (m_group.empty()) {
        return;
    }
    add_report(m_outbox, {.target = target_hash(view.listed),
                          .requests = report.running + report.waiting,
                          .slowness = report.slowness,
                          .service = duration{static_cast<duration::rep>(view.service_us)},
                          .rejected = rejected && says_full(report),
                          .reported_at = now});
}

auto load_sharing::is_due(instant now) const -> bool {
    const auto is_active = !m_outbox.empty() || now - m_last_request < active_time;
    return is_active || now - m_last_share >= idle_interval;
}

auto load_sharing::update_group(instant now) -> void {
    if (now < m_next_update) {
        return;
    }
    m_next_update = now + update_interval;
    m_group = sharing_group(m_cluster.instances(), m_settings.instance, m_settings.data_centre);
    m_targets.clear();
    if (m_group.empty()) {
        m_outbox.clear();
        return;
    }
    for (const auto& [id, target] : m_cluster.targets()) {
        m_targets.emplace(target_hash(target->view.listed), target);
    }
}

auto load_sharing::merge(const std::vector<shared_report>& reports, instant now) -> void {
    for (const auto& each : reports) {
        const auto found = m_targets.find(each.target);
        if (found != m_targets.end() && on_shared_report(found->second->view, each, now)) {
            m_measured.count(counter::shared_reports_merged);
        }
    }
}

auto load_sharing::answer(const std::string& body) -> std::string {
    const auto now = monotonic_now();
    const auto message = decode_load_message(body, now);
    if (!message) {
        return {};
    }
    merge(message->reports, now);
    const auto news = exchange_reports(m_exchange, message->instance, message->reports, {}, now);
    return encode_load_message({.instance = m_settings.instance, .reports = news}, now);
}

auto load_sharing::share_with(const instance_record& exchange, const std::vector<shared_report>& heard)
    -> asio::awaitable<bool> {
    const auto sent_at = monotonic_now();
    if (exchange.name == m_settings.instance) {
        // What others sent was merged on arrival.
        static_cast<void>(exchange_reports(m_exchange, m_settings.instance, heard, {}, sent_at));
        co_return true;
    }
    const auto message = load_message{.instance = m_settings.instance, .reports = heard};
    auto request = make_peer_request(std::string{load_exchange_path}, exchange.internal,
                                     encode_load_message(message, sent_at));
    auto peer = exchange.internal;
    const auto reply = co_await perform_exchange(m_pool, std::move(peer), std::move(request),
                                                 exchange_timeout, max_message_bytes);
    // The answer was made after the message was sent, so its reports are no newer than this makes them.
    const auto news = reply ? decode_load_message(reply->body(), sent_at) : std::nullopt;
    if (!news) {
        co_return false;
    }
    merge(news->reports, monotonic_now());
    co_return true;
}

auto load_sharing::share() -> asio::awaitable<void> {
    m_last_share = monotonic_now();
    const auto heard = take_reports(m_outbox, exchange_options{}.max_reports);
    const auto group = m_group; // It may change while an answer is awaited.
    for (const auto& each : group) {
        if (monotonic_now() < m_avoid_until[each.name]) {
            continue;
        }
        const auto shared = co_await share_with(each, heard);
        if (shared) {
            if (m_current != each.name) {
                m_current = each.name;
                log::info("load_exchange_chosen", {{"exchange", each.name}, {"instances", group.size()}});
            }
            m_measured.count(counter::load_messages);
            co_return;
        }
        m_avoid_until[each.name] = monotonic_now() + avoid_time;
        m_measured.count(counter::load_messages_unanswered);
        log::info("load_exchange_silent", {{"exchange", each.name}});
    }
}

auto load_sharing::run() -> asio::awaitable<void> {
    while (true) {
        co_await sleep_for(sharing_interval);
        const auto now = monotonic_now();
        if (!is_due(now)) {
            continue;
        }
        update_group(now);
        if (m_group.empty()) {
            m_last_share = now;
            continue;
        }
        co_await share();
    }
}

auto load_sharing::add_gauges(std::vector<gauge>& values) const -> void {
    const auto add = [&values](const char* kind, std::size_t value) {
        values.push_back({.name = "load_exchange", .kind = kind, .value = static_cast<double>(value)});
    };
    add("instances", m_exchange.instances.size());
    add("reports", m_exchange.reports.size());
}

} // namespace teaselcross
