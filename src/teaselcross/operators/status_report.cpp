#include "operators/status_report.h"

#include "control/controller_loop.h"
#include "control/keeper_loop.h"
#include "control/membership_loop.h"
#include "control/sync_loop.h"
#include "peer/conversions.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto status_timeout = duration{std::chrono::milliseconds{800}};
constexpr auto max_contact_age_ms =
    std::uint64_t{15'000}; ///< Longest time without contact to the store that is not reported.
constexpr auto max_move_wait_ms = std::uint64_t{3'000}; ///< Longest wait of a move that is not reported.
constexpr auto max_moves_shown = std::size_t{20};

auto milliseconds(duration period) -> std::uint64_t {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(period).count());
}

/// Returns the state of a target; if several apply, the most urgent one.
auto target_state_text(const wire::TargetReport& report, const description& config, const target_id& id)
    -> std::string {
    const auto phase = static_cast<target_phase>(report.phase());
    if (phase != target_phase::live) {
        return std::string{name_in(target_phase_names, phase)};
    }
    const auto described = config.targets.find(id);
    if (described != config.targets.end() && !config.is_in_service(described->second)) {
        return "draining";
    }
    return report.warmth() < 1 ? "cold" : "warm";
}

auto target_json(const wire::TargetReport& report, const description& config, const std::string& keeper)
    -> nlohmann::json {
    return {{"state", target_state_text(report, config, target_id{report.target()})},
            {"keeper", keeper},
            {"epoch", report.epoch()},
            {"for_ms", report.in_phase_ms()},
            {"warmth", report.warmth()},
            {"in_flight", report.in_flight()},
            {"waiting", report.waiting()},
            {"releasing", report.shards().size()}};
}

auto shards_json(const instance_context& node) -> nlohmann::json {
    auto services = nlohmann::json::object();
    for (const auto& [key, partition] : node.mirror.partitions()) {
        auto& service = services[key.first.value()];
        if (service.is_null()) {
            service = {{"owned", 0}, {"releasing", 0}, {"unowned", 0}};
        }
        for (const auto& record : partition.object.shards) {
            auto& count = service[std::string{name_in(shard_state_names, record.state)}];
            count = count.get<int>() + 1;
        }
    }
    return services;
}

auto add_concern(nlohmann::json& concerns, const std::string& text) -> void {
    concerns.push_back(text);
}

auto find_concerns(const instance_context& node, const nlohmann::json& status) -> nlohmann::json {
    auto concerns = nlohmann::json::array();
    if (!node.mirror.description()) {
        add_concern(concerns,
                    "This instance has no configuration: submit one, or check the platform's store.");
        return concerns;
    }
    if (status.at("store").at("contact_age_ms").get<std::uint64_t>() > max_contact_age_ms) {
        add_concern(concerns,
                    "The platform's store cannot be reached: assignments and configuration are frozen.");
    }
    for (const auto& [name, target] : status.at("targets").items()) {
        const auto state = target.at("state").get<std::string>();
        if (state == "silent" || state == "gone") {
            add_concern(concerns, "Target " + name + " is " + state + ".");
        }
    }
    for (const auto& [name, shards] : status.at("shards").items()) {
        const auto unowned = shards.at("unowned").get<int>();
        if (unowned > 0) {
            add_concern(concerns,
                        "Service " + name + " has " + std::to_string(unowned) + " shards without an owner.");
        }
    }
    auto stuck = std::map<std::pair<std::string, std::string>, int>{};
    for (const auto& move : status.at("moves")) {
        if (move.at("waited_ms").get<std::uint64_t>() > max_move_wait_ms) {
            ++stuck[{move.at("from").get<std::string>(), move.at("waiting_for").get<std::string>()}];
        }
    }
    for (const auto& [move, count] : stuck) {
        add_concern(concerns, std::to_string(count) + " shards of target " + move.first +
                                  " cannot move: waiting for " + move.second + ".");
    }
    for (const auto& behind : status.at("config").at("behind")) {
        add_concern(concerns, "Instance " + behind.get<std::string>() + " has an outdated configuration.");
    }
    for (const auto& unresponsive : status.at("instances_silent")) {
        add_concern(concerns, "Instance " + unresponsive.get<std::string>() + " does not respond.");
    }
    if (!status.at("local_orders").empty()) {
        add_concern(concerns, "Local orders apply in this data centre only: submit them as patches once the "
                              "store is available again.");
    }
    return concerns;
}

auto escape_html(const std::string& text) -> std::string {
    auto safe = std::string{};
    for (const auto character : text) {
        switch (character) {
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        default:
            safe += character;
        }
    }
    return safe;
}

auto table_row(std::initializer_list<std::string> cells, const char* tag) -> std::string {
    auto row = std::string{"<tr>"};
    for (const auto& cell : cells) {
        row += "<" + std::string{tag} + ">" + escape_html(cell) + "</" + std::string{tag} + ">";
    }
    return row + "</tr>\n";
}

} // namespace

auto own_status(instance_context& node) -> wire::InstanceStatus {
    const auto now = monotonic_now();
    auto status = wire::InstanceStatus{};
    *status.mutable_member() = to_wire(node.membership->state().self);
    status.set_config_version(node.mirror.description() ? node.mirror.description()->version : 0);
    status.set_controller(node.controller->is_controller(now));
    status.set_relay(node.sync->is_relay());
    status.set_store_contact_age_ms(milliseconds(node.sync->contact_age(now)));
    for (auto& report : node.keeper->reports()) {
        *status.add_targets() = std::move(report);
    }
    if (status.controller()) {
        for (const auto& move : node.controller->state().pending) {
            auto* const added = status.add_moves();
            added->set_service(move.service.value());
            added->set_shard(number(move.shard));
            added->set_from(move.from.value());
            added->set_fence(move.fence);
            added->set_waiting(static_cast<std::uint32_t>(move.waiting));
            added->set_waited_ms(milliseconds(move.waited));
        }
    }
    for (const auto& order : node.local_orders) {
        *status.add_local_orders() = order;
    }
    return status;
}

auto collect_status(instance_context& node, std::function<void(collected_status)> done) -> void {
    struct pending_status {
        collected_status result;
        std::size_t replies_left = 0;
        std::function<void(collected_status)> done;
    };
    auto pending = std::make_shared<pending_status>();
    pending->done = std::move(done);
    pending->result.instances.push_back(own_status(node));
    auto recipients = std::vector<member>{};
    for (const auto& [id, record] : node.membership->state().members) {
        if (record.state <= member_state::suspect) {
            recipients.push_back(record);
        }
    }
    pending->replies_left = recipients.size();
    if (recipients.empty()) {
        pending->done(std::move(pending->result));
        return;
    }
    for (const auto& each : recipients) {
        node.peers.call<wire::StatusRequest, wire::InstanceStatus>(
            each.address, &wire::Peer::StubInterface::async_interface::Status, {}, status_timeout,
            [pending, id = each.id](const grpc::Status& status, const wire::InstanceStatus& reply) {
                if (status.ok()) {
                    pending->result.instances.push_back(reply);
                } else {
                    pending->result.unresponsive.push_back(id);
                }
                if (--pending->replies_left == 0) {
                    pending->done(std::move(pending->result));
                }
            });
    }
}

auto status_json(const instance_context& node, const collected_status& collected) -> nlohmann::json {
    auto status = nlohmann::json::object();
    const auto config = node.mirror.description();
    const auto version = config ? config->version : 0;
    auto behind = nlohmann::json::array();
    auto instances = nlohmann::json::object();
    auto targets = nlohmann::json::object();
    auto moves = nlohmann::json::array();
    auto orders = nlohmann::json::array();
    for (const auto& each : collected.instances) {
        instances[each.member().id()] = {{"data_centre", each.member().data_centre()},
                                         {"config_version", each.config_version()},
                                         {"controller", each.controller()},
                                         {"relay", each.relay()},
                                         {"store_contact_age_ms", each.store_contact_age_ms()}};
        if (each.config_version() < version) {
            behind.push_back(each.member().id());
        }
        for (const auto& report : each.targets()) {
            if (config) {
                targets[report.target()] = target_json(report, *config, each.member().id());
            }
        }
        for (const auto& move : each.moves()) {
            moves.push_back(
                {{"service", move.service()},
                 {"shard", move.shard()},
                 {"from", move.from()},
                 {"fence", move.fence()},
                 {"waited_ms", move.waited_ms()},
                 {"waiting_for", name_in(move_wait_names, static_cast<move_wait>(move.waiting()))}});
        }
        for (const auto& order : each.local_orders()) {
            orders.push_back({{"instance", each.member().id()},
                              {"id", order.id()},
                              {"who", order.who()},
                              {"why", order.why()},
                              {"when_ms", order.when_ms()},
                              {"data_centre_out", order.data_centre_out()},
                              {"target_draining", order.target_draining()}});
        }
    }
    auto data_centres = nlohmann::json::object();
    if (config) {
        for (const auto& [id, described] : config->data_centres) {
            data_centres[id.value()] = {{"state", name_in(data_centre_state_names, described.state)}};
        }
        for (const auto& [id, described] : config->targets) {
            auto& target = targets[id.value()];
            if (target.is_null()) {
                target = {{"state", "unkept"}, {"keeper", ""},   {"for_ms", 0},
                          {"warmth", 0},       {"in_flight", 0}, {"waiting", 0}};
            }
            target["service"] = described.service.value();
            target["data_centre"] = described.data_centre.value();
            target["wanted"] = name_in(target_state_names, described.state);
        }
    }
    auto unresponsive = nlohmann::json::array();
    for (const auto& id : collected.unresponsive) {
        unresponsive.push_back(id.value());
    }
    status["config"] = {{"version", version}, {"behind", behind}};
    status["store"] = {{"contact_age_ms", milliseconds(node.sync->contact_age(monotonic_now()))}};
    status["data_centres"] = data_centres;
    status["instances"] = instances;
    status["instances_silent"] = unresponsive;
    status["targets"] = targets;
    status["shards"] = shards_json(node);
    status["moves"] = moves;
    status["local_orders"] = orders;
    status["answered_by"] = node.options.instance.value();
    const auto concerns = find_concerns(node, status);
    status["act"] = !concerns.empty();
    status["concerns"] = concerns;
    return status;
}

auto status_text(const nlohmann::json& status) -> std::string {
    auto text = std::string{};
    if (status.at("act").get<bool>()) {
        text += "ACT: " + std::to_string(status.at("concerns").size()) + " problem(s) need attention.\n";
        for (const auto& concern : status.at("concerns")) {
            text += "  - " + concern.get<std::string>() + "\n";
        }
    } else {
        text += "OK: no action needed.\n";
    }
    text += "configuration " + std::to_string(status.at("config").at("version").get<std::uint64_t>()) + ", " +
            std::to_string(status.at("instances").size()) + " instances respond, last contact to the store " +
            std::to_string(status.at("store").at("contact_age_ms").get<std::uint64_t>()) + " ms ago\n";
    for (const auto& [name, data_centre] : status.at("data_centres").items()) {
        text += "data centre " + name + ": " + data_centre.at("state").get<std::string>() + "\n";
    }
    for (const auto& [name, shards] : status.at("shards").items()) {
        text += "service " + name + ": " + std::to_string(shards.at("owned").get<int>()) + " shards owned, " +
                std::to_string(shards.at("releasing").get<int>()) + " moving, " +
                std::to_string(shards.at("unowned").get<int>()) + " unowned\n";
    }
    for (const auto& [name, target] : status.at("targets").items()) {
        text += "target " + name + ": " + target.at("state").get<std::string>() + " for " +
                std::to_string(target.at("for_ms").get<std::uint64_t>() / 1000) + " s, keeper " +
                target.at("keeper").get<std::string>() + "\n";
    }
    for (const auto& [name, instance] : status.at("instances").items()) {
        text += "instance " + name + " in " + instance.at("data_centre").get<std::string>() +
                (instance.at("controller").get<bool>() ? ", controller" : "") +
                (instance.at("relay").get<bool>() ? ", relay" : "") + "\n";
    }
    auto shown = std::size_t{0};
    for (const auto& move : status.at("moves")) {
        if (++shown > max_moves_shown) {
            text +=
                "... and " + std::to_string(status.at("moves").size() - max_moves_shown) + " more moves\n";
            break;
        }
        text += "move of " + move.at("service").get<std::string>() + "/" +
                std::to_string(move.at("shard").get<std::uint32_t>()) + " from " +
                move.at("from").get<std::string>() + " is waiting for " +
                move.at("waiting_for").get<std::string>() + "\n";
    }
    return text;
}

auto status_page(const nlohmann::json& status) -> std::string {
    const auto act = status.at("act").get<bool>();
    auto page = std::string{"<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
                            "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">"
                            "<meta http-equiv=\"refresh\" content=\"5\"><title>teaselcross</title><style>"
                            "body{font:16px/1.4 system-ui,sans-serif;margin:1rem;max-width:60rem}"
                            "h1{font-size:1.2rem;padding:.6rem;border-radius:.4rem;color:#fff}"
                            "h1.ok{background:#1b6e3c}h1.act{background:#a3271d}"
                            "table{border-collapse:collapse;width:100%;font-size:.9rem}"
                            "td,th{text-align:left;padding:.25rem .4rem;border-bottom:1px solid #ccc}"
                            "</style></head><body>\n"};
    page += act ? "<h1 class=\"act\">Action needed: " + std::to_string(status.at("concerns").size()) +
                      " problem(s)</h1>\n<ul>\n"
                : std::string{"<h1 class=\"ok\">No action needed</h1>\n<ul>\n"};
    for (const auto& concern : status.at("concerns")) {
        page += "<li>" + escape_html(concern.get<std::string>()) + "</li>\n";
    }
    page += "</ul>\n<p>Configuration " +
            std::to_string(status.at("config").at("version").get<std::uint64_t>()) + ", reported by " +
            escape_html(status.at("answered_by").get<std::string>()) + ", last contact to the store " +
            std::to_string(status.at("store").at("contact_age_ms").get<std::uint64_t>()) + " ms ago.</p>\n";
    page += "<h2>Data centres</h2><table>" + table_row({"name", "state"}, "th");
    for (const auto& [name, data_centre] : status.at("data_centres").items()) {
        page += table_row({name, data_centre.at("state").get<std::string>()}, "td");
    }
    page += "</table><h2>Targets</h2><table>" +
            table_row({"target", "state", "since", "keeper", "in flight"}, "th");
    for (const auto& [name, target] : status.at("targets").items()) {
        page += table_row({name, target.at("state").get<std::string>(),
                           std::to_string(target.at("for_ms").get<std::uint64_t>() / 1000) + " s",
                           target.at("keeper").get<std::string>(),
                           std::to_string(target.at("in_flight").get<std::uint32_t>())},
                          "td");
    }
    page += "</table><h2>Instances</h2><table>" + table_row({"instance", "data centre", "roles"}, "th");
    for (const auto& [name, instance] : status.at("instances").items()) {
        const auto roles = std::string{instance.at("controller").get<bool>() ? "controller " : ""} +
                           (instance.at("relay").get<bool>() ? "relay" : "");
        page += table_row({name, instance.at("data_centre").get<std::string>(), roles}, "td");
    }
    return page + "</table></body></html>\n";
}

} // namespace teaselcross
