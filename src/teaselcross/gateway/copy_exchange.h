#pragma once

// Tells other instances, mostly of other data centres, which states of the store's objects this one has, and
// hears theirs. An instance behind a late relay or controller learns that way that it lacks a change, and
// from whom to fetch it.
//
// See Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987): anti-entropy by push
// and pull. Here only states are exchanged; objects are fetched when the usual way has not brought them in
// time.

#include "gateway/store_follower.h"
#include "membership/copy_news.h"

#include <random>

namespace teaselcross {

/// Path of the messages on the internal port.
constexpr auto copy_exchange_path = "/copies";

/// The instances with which the one called @a own, of @a data_centre, exchanges states: a few of each other
/// data centre, and of its own. Consecutive ones are of different data centres. Two instances with the same
/// list of instances have different partners. Thread safe.
auto exchange_partners(const std::vector<instance_record>& instances, const std::string& own)
    -> std::vector<instance_record>;

/// Not thread safe: use it on the event loop's thread only. All referenced objects must outlive it.
class copy_exchange {
public:
    copy_exchange(const gateway_settings& settings, const cluster_state& cluster,
                  const std::vector<std::unique_ptr<store_follower>>& copies,
                  boost::asio::any_io_executor executor);

    /// Exchanges states with one partner after the other for as long as the event loop runs.
    auto run() -> boost::asio::awaitable<void>;
    /// Handles the message of another instance. The answer is empty if the message cannot be read.
    auto answer(const std::string& body) -> std::string;

    /// The instance that has had a later copy of @a kind for so long that this one has to fetch it.
    auto instance_ahead(const store_follower& kind) -> std::optional<instance_record>;
    /// Records that fetching from @a instance was tried, so that the next one to be heard of is asked.
    auto on_fetched(const store_follower& kind, const std::string& instance) -> void;

private:
    auto exchange_with(const instance_record& partner) -> boost::asio::awaitable<bool>;
    auto hear(const std::string& instance, const copy_states& theirs) -> void;
    auto states() const -> copy_states;
    auto next_partner() -> std::optional<instance_record>;

    const gateway_settings& m_settings;
    const cluster_state& m_cluster;
    const std::vector<std::unique_ptr<store_follower>>& m_copies;
    connection_pool m_pool;
    std::map<std::string, copy_news> m_news; ///< By kind.
    std::vector<instance_record> m_partners;
    instant m_next_choice{};
    std::size_t m_round = std::random_device{}();
};

} // namespace teaselcross
