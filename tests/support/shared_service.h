#pragma once

// A service that 75 instances send to without a word between them: each knows the targets only by the reports
// in responses to its own requests. A queue per target, time in steps of a millisecond.

#include "admission/shortage.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>

namespace teaselcross {

using std::chrono::milliseconds;

/// Callers of one kind, and what became of those who arrived in each second.
struct caller_kind {
    valued_request request;
    std::function<double(int)> rate; ///< Requests per second, by second.
    duration work = milliseconds{140};
    duration objective = milliseconds{600};
    duration patience = milliseconds{1500};
    std::array<double, 12> callers{}, in_time{}, late{}, refused{};
};

struct service_run {
    std::vector<caller_kind> kinds;
    std::mt19937_64 random{1};
    bool decides = true; ///< Whether check_shortage() is obeyed.
    std::size_t seconds = 12;
    bool is_disturbed = false; ///< Speeds differ, and a fifth of the targets is slow, redrawn each 400 ms.

    struct target_queue {
        double speed = 1, slowness = 1;
        std::array<instant, 3> slot_free{};
        std::vector<std::pair<instant, instant>> accepted; ///< Start and end of each.
    };
    struct instance_state {
        std::vector<target_view> views;
        std::vector<target_view*> known;
        service_shortage shortage;
        lateness_estimate lateness;
    };
    struct caller {
        caller_kind* kind = nullptr;
        instant arrived{};
        valued_request request;
    };

    instant start{std::chrono::seconds{100}}, now{};
    std::vector<target_queue> targets = std::vector<target_queue>(40);
    std::vector<instance_state> instances = std::vector<instance_state>(75);
    std::multimap<instant, std::function<void()>> events;

    auto uniform() -> double { return std::uniform_real_distribution<double>{}(random); }
    auto second_of(instant time) const -> std::size_t {
        return static_cast<std::size_t>((time - start) / std::chrono::seconds{1});
    }

    auto run() -> void {
        for (auto& each : targets) {
            each.speed = is_disturbed ? 0.6 + 0.4 * static_cast<double>(random() % 3) : 1.0;
        }
        for (auto& each : instances) {
            each.views.resize(targets.size());
            for (auto& view : each.views) {
                view.listed.slots = 3;
                each.known.push_back(&view);
            }
            std::shuffle(each.known.begin(), each.known.end(), random);
            each.known.resize(8);
        }
        for (now = start; second_of(now) < seconds + 3; now += milliseconds{1}) {
            for (auto& each : targets) {
                const auto redraw = is_disturbed && (now - start) % milliseconds{400} == duration::zero();
                each.slowness = !redraw ? each.slowness : uniform() < 0.2 ? 3 : 1;
            }
            while (!events.empty() && events.begin()->first <= now) {
                events.extract(events.begin()).mapped()();
            }
            for (auto& kind : kinds) {
                const auto rate =
                    second_of(now) < seconds ? kind.rate(static_cast<int>(second_of(now))) : 1e-9;
                for (auto left = std::poisson_distribution<int>{rate / 1000}(random); left > 0; --left) {
                    kind.callers.at(second_of(now)) += 1;
                    ask({&kind, now, kind.request});
                }
            }
        }
    }

    auto ask(const caller& from) -> void {
        auto& at = instances[random() % instances.size()];
        record_arrival(at.shortage, from.request, from.kind->objective, {}, now);
        auto* view = choose_view(at.known, {}, random(), now);
        if (view == nullptr) {
            return refuse(at, from, request_end::no_capacity, milliseconds{150});
        }
        const auto deadline = from.arrived + from.kind->patience;
        const auto objective = from.arrived + from.kind->objective;
        const auto times = request_times{deadline, from.request.is_returning ? deadline : objective};
        if (const auto full = check_admission(*view, times, at.lateness, {}, now)) {
            return refuse(at, from, request_end::no_capacity, *full);
        }
        auto estimate = estimate_send(*view, {}, now);
        estimate.work = from.kind->work;
        const auto yields =
            check_shortage(at.shortage, from.request, estimate, objective - now, uniform(), {}, now);
        if (yields && decides) {
            return refuse(at, from, request_end::yielded, *yields);
        }
        send(at, from, *view, has_queue(estimate));
    }

    static auto report(target_queue& target, instant at) -> load_report {
        std::erase_if(target.accepted, [at](const auto& each) { return each.second <= at; });
        const auto waiting = static_cast<std::uint32_t>(
            std::ranges::count_if(target.accepted, [at](const auto& each) { return each.first > at; }));
        return {static_cast<std::uint32_t>(target.accepted.size()) - waiting, waiting, 3, target.slowness};
    }

    auto send(instance_state& at, const caller& from, target_view& view, bool found_queue) -> void {
        auto& target = targets[static_cast<std::size_t>(&view - at.views.data())];
        on_sent(view);
        record_send(at.shortage, from.request, {}, now);
        if (const auto load = report(target, now); load.waiting >= 12) {
            on_report(view, load, now);
            on_ended(view, send_result::shed, {}, {}, now);
            record_rejection(at.shortage, from.request, {}, now);
            return refuse(at, from, request_end::no_capacity, expected_finish(view, {}, now) / 2);
        }
        const auto slot = std::ranges::min_element(target.slot_free);
        const auto begin = std::max(now, *slot);
        const auto factor = target.slowness * (0.5 + uniform()) / target.speed;
        *slot = begin + std::chrono::duration_cast<duration>(from.kind->work * factor);
        target.accepted.emplace_back(begin, *slot);
        events.emplace(*slot, [=, this, &at, &view, &target, sent = now] {
            const auto is_late = now > from.arrived + from.kind->objective;
            (is_late ? from.kind->late : from.kind->in_time).at(second_of(from.arrived)) += 1;
            on_report(view, report(target, now), now);
            on_ended(view, send_result::answered, now - sent, {}, now);
            record_load(at.shortage, estimate_send(view, {}, now), {}, now);
            record_answer(at.lateness, is_late);
            const auto late = found_queue ? request_end::late_in_queue : request_end::late;
            record_end(at.shortage, from.request, is_late ? late : request_end::in_time, {}, now);
        });
    }

    auto refuse(instance_state& at, caller from, request_end end, duration retry_after) -> void {
        record_end(at.shortage, from.request, end, {}, now);
        const auto delay = std::max(retry_after, duration{milliseconds{40}});
        const auto back = std::chrono::duration_cast<duration>(delay * (0.5 + uniform()));
        if (back > (from.arrived + from.kind->patience - now) / 3) {
            from.kind->refused.at(second_of(from.arrived)) += 1;
            return;
        }
        from.request.is_returning = true;
        events.emplace(now + back, [this, from] { ask(from); });
    }
};

} // namespace teaselcross
