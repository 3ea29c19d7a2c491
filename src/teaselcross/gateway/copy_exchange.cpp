#include "gateway/copy_exchange.h"

#include "core/rendezvous.h"
#include "gateway/peer_request.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

constexpr auto exchange_interval = duration{std::chrono::milliseconds{400}};
constexpr auto exchange_timeout = duration{std::chrono::milliseconds{300}};
constexpr auto partners_in_data_centre = std::size_t{3};
/// Interval at which the partners follow the list of instances.
constexpr auto choice_interval = duration{std::chrono::seconds{2}};
/// A partner that does not answer is passed over at once, but not many in a row.
constexpr auto max_tries = 2;
/// By then a change has come by the usual way: it waits for others in its batch, and is parsed.
constexpr auto spreading_time = duration{std::chrono::milliseconds{200}};
constexpr auto max_message_bytes = std::size_t{64} * 1024;

auto encode(const std::string& instance, const copy_states& states) -> std::string {
    auto document = to_json(states);
    document["from"] = instance;
    return document.dump();
}

struct copies_message {
    std::string from;
    copy_states states;
};

auto decode(const std::string& text) -> std::optional<copies_message> {
    try {
        const auto document = json::parse(text);
        return copies_message{.from = document.at("from").get<std::string>(),
                              .states = copy_states_from_json(document)};
    } catch (const json::exception& fault) {
        log::warning("copies_unreadable", {{"fault", fault.what()}});
        return std::nullopt;
    }
}

} // namespace

auto exchange_partners(const std::vector<instance_record>& instances, const std::string& own)
    -> std::vector<instance_record> {
    const auto item = hash_text(own);
    auto by_data_centre = std::map<data_centre_id, std::vector<instance_record>>{};
    for (const auto& each : instances) {
        if (each.name != own) {
            by_data_centre[each.data_centre].push_back(each);
        }
    }
    auto partners = std::vector<instance_record>{};
    for (auto& [data_centre, members] : by_data_centre) {
        std::sort(members.begin(), members.end(), [item](const auto& left, const auto& right) {
            return rendezvous_weight(item, left.name) > rendezvous_weight(item, right.name);
        });
    }
    for (auto place = std::size_t{0}; place < partners_in_data_centre; ++place) {
        for (const auto& [data_centre, members] : by_data_centre) {
            if (place < members.size()) {
                partners.push_back(members[place]);
            }
        }
    }
    return partners;
}

copy_exchange::copy_exchange(const gateway_settings& settings, const cluster_state& cluster,
                             const std::vector<std::unique_ptr<store_follower>>& copies,
                             asio::any_io_executor executor)
    : m_settings{settings}, m_cluster{cluster}, m_copies{copies}, m_pool{
                                                                      std::move(executor),
                                                                      {.connect_timeout = exchange_timeout,
                                                                       .idle_limit = std::chrono::seconds{20},
                                                                       .user_timeout = exchange_timeout,
                                                                       .idle_per_peer = 1}} {}

auto copy_exchange::states() const -> copy_states {
    auto states = copy_states{};
    for (const auto& each : m_copies) {
        if (each->listed()) {
            states[each->kind()] = each->state();
        }
    }
    return states;
}

auto copy_exchange::hear(const std::string& instance, const copy_states& theirs) -> void {
    const auto now = monotonic_now();
    for (const auto& each : m_copies) {
        const auto found = theirs.find(each->kind());
        const auto own = each->state();
        if (found != theirs.end() && found->second.digest != own.digest && each->listed()) {
            hear_copy(m_news[each->kind()], instance, found->second.complete_to, own.complete_to, now);
        }
    }
}

auto copy_exchange::answer(const std::string& body) -> std::string {
    const auto message = decode(body);
    if (!message) {
        return {};
    }
    // How long the message was on its way is not known, so it confirms nothing.
    hear(message->from, message->states);
    return encode(m_settings.instance, states());
}

auto copy_exchange::exchange_with(const instance_record& partner) -> asio::awaitable<bool> {
    const auto asked_at = monotonic_now();
    auto request =
        make_peer_request(copy_exchange_path, partner.internal, encode(m_settings.instance, states()));
    auto peer = partner.internal;
    const auto reply = co_await perform_exchange(m_pool, std::move(peer), std::move(request),
                                                 exchange_timeout, max_message_bytes);
    const auto message = reply && !reply->body().empty() ? decode(reply->body()) : std::nullopt;
    if (!message) {
        co_return false;
    }
    for (const auto& each : m_copies) {
        const auto found = message->states.find(each->kind());
        if (found != message->states.end() && each->listed() &&
            found->second.digest == each->state().digest) {
            each->confirm(found->second, asked_at);
        }
    }
    hear(message->from, message->states);
    co_return true;
}

auto copy_exchange::next_partner() -> std::optional<instance_record> {
    const auto now = monotonic_now();
    if (now >= m_next_choice) {
        m_next_choice = now + choice_interval;
        m_partners = exchange_partners(m_cluster.instances(), m_settings.instance);
    }
    return m_partners.empty() ? std::nullopt : std::optional{m_partners[m_round++ % m_partners.size()]};
}

auto copy_exchange::run() -> asio::awaitable<void> {
    while (true) {
        co_await sleep_for(exchange_interval);
        auto is_answered = false;
        for (auto tries = 0; tries < max_tries && !is_answered; ++tries) {
            const auto partner = next_partner();
            if (!partner) {
                break;
            }
            is_answered = co_await exchange_with(*partner);
        }
    }
}

auto copy_exchange::instance_ahead(const store_follower& kind) -> std::optional<instance_record> {
    const auto tolerance = spreading_time + kind.batch_delay();
    const auto name = teaselcross::instance_ahead(m_news[kind.kind()], kind.state().complete_to, tolerance,
                                                  monotonic_now());
    if (!name) {
        return std::nullopt;
    }
    for (const auto& each : m_cluster.instances()) {
        if (each.name == *name) {
            return each;
        }
    }
    forget_copy(m_news[kind.kind()], *name);
    return std::nullopt;
}

auto copy_exchange::on_fetched(const store_follower& kind, const std::string& instance) -> void {
    forget_copy(m_news[kind.kind()], instance);
}

} // namespace teaselcross
