#include "gateway/replica_messages.h"

#include <nlohmann/json.hpp>

namespace teaselcross {

namespace {

using json = nlohmann::json;

auto revision_from(const json& field) -> store_revision {
    return decode_revision(field.get<std::uint64_t>());
}

// An object is an array of its key, version, value, whether it was removed, the base of its value and, if
// that is known, for how many microseconds it has been known.
auto encode_object(const store_object& object, const store_revision& base,
                   const std::optional<duration>& known_for) -> json {
    auto fields = json{object.key, encode_revision(object.version), object.value, object.removed,
                       encode_revision(base)};
    if (known_for) {
        fields.push_back(known_for->count());
    }
    return fields;
}

auto decode_object(const json& fields) -> relayed_object {
    constexpr auto known_for = std::size_t{5}; // Earlier builds send fewer fields.
    return {.object = {.key = fields.at(0).get<std::string>(),
                       .version = revision_from(fields.at(1)),
                       .value = fields.at(2).get<std::string>(),
                       .removed = fields.at(3).get<bool>()},
            .base = revision_from(fields.at(4)),
            .known_for = fields.size() > known_for
                             ? std::optional{duration{fields.at(known_for).get<duration::rep>()}}
                             : std::nullopt};
}

/// An age that is not known has no field.
auto encode_age(json& document, duration age) -> void {
    if (age != duration::max()) {
        document["age_us"] = age.count();
    }
}

auto decode_age(const json& document) -> duration {
    return document.contains("age_us") ? duration{document.at("age_us").get<duration::rep>()}
                                       : duration::max();
}

/// Without an outage there is no field, as in answers of earlier builds.
auto encode_grace(json& document, duration grace) -> void {
    if (grace > duration::zero()) {
        document["grace_us"] = grace.count();
    }
}

auto decode_grace(const json& document) -> duration {
    return duration{document.value("grace_us", duration::rep{0})};
}

template <class Message, class Reader>
auto decode(const std::string& text, Reader reader) -> std::optional<Message> {
    try {
        return reader(json::parse(text));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

auto encode(const std::string& kind, const follow_query& query) -> std::string {
    return json{{"kind", kind}, {"epoch", query.epoch}, {"number", query.number}}.dump();
}

auto encode(const follow_answer& answer) -> std::string {
    auto objects = json::array();
    for (const auto& each : answer.objects) {
        objects.push_back(encode_object(each.object, each.base, each.known_for));
    }
    auto document = json{{"epoch", answer.epoch},
                         {"number", answer.number},
                         {"at", encode_revision(answer.complete_to)},
                         {"digest", answer.digest},
                         {"whole", answer.is_whole},
                         {"objects", std::move(objects)},
                         {"held_us", answer.held.count()}};
    encode_grace(document, answer.outage_grace);
    encode_age(document, answer.age);
    return document.dump();
}

auto encode(const std::string& kind, const object_versions& versions) -> std::string {
    auto fields = json::object();
    for (const auto& [key, version] : versions) {
        fields[key] = encode_revision(version);
    }
    return json{{"kind", kind}, {"versions", std::move(fields)}}.dump();
}

auto encode(const compare_answer& answer) -> std::string {
    auto objects = json::array();
    for (const auto& object : answer.comparison.differing) {
        const auto known_for = answer.known_for.find(object.key);
        objects.push_back(encode_object(
            object, {},
            known_for == answer.known_for.end() ? std::nullopt : std::optional{known_for->second}));
    }
    auto document = json{{"at", encode_revision(answer.comparison.complete_to)},
                         {"whole", false}, // Earlier builds read it.
                         {"objects", std::move(objects)},
                         {"present", answer.comparison.same}};
    encode_grace(document, answer.outage_grace);
    encode_age(document, answer.age);
    return document.dump();
}

auto starting_answer() -> std::string {
    return json{{"starting", true}}.dump();
}

auto is_starting_answer(const std::string& text) -> bool {
    const auto document = json::parse(text, nullptr, false);
    return document.is_object() && document.contains("starting");
}

auto to_json(const copy_states& states) -> json {
    auto document =
        json{{"digests", json::object()}, {"revisions", json::object()}, {"ages_us", json::object()}};
    for (const auto& [kind, state] : states) {
        document["digests"][kind] = state.digest;
        document["revisions"][kind] = encode_revision(state.complete_to);
        if (state.age != duration::max()) {
            document["ages_us"][kind] = state.age.count();
        }
    }
    return document;
}

auto copy_states_from_json(const json& document) -> copy_states {
    auto states = copy_states{};
    for (const auto& [kind, digest] : document.at("digests").items()) {
        states[kind].digest = digest.get<std::uint64_t>();
    }
    const auto revisions = document.value("revisions", json::object()); // Earlier builds send digests only.
    for (const auto& [kind, revision] : revisions.items()) {
        states[kind].complete_to = revision_from(revision);
    }
    const auto ages = document.value("ages_us", json::object());
    for (const auto& [kind, age] : ages.items()) {
        states[kind].age = duration{age.get<duration::rep>()};
    }
    return states;
}

auto decode_follow_query(const std::string& text) -> std::optional<follow_query> {
    return decode<follow_query>(text, [](const json& document) {
        return follow_query{.epoch = document.at("epoch").get<std::uint64_t>(),
                            .number = document.at("number").get<std::uint64_t>()};
    });
}

auto decode_follow_answer(const std::string& text) -> std::optional<follow_answer> {
    return decode<follow_answer>(text, [](const json& document) {
        auto answer = follow_answer{.epoch = document.at("epoch").get<std::uint64_t>(),
                                    .number = document.at("number").get<std::uint64_t>(),
                                    .complete_to = revision_from(document.at("at")),
                                    .digest = document.value("digest", std::uint64_t{0}),
                                    .is_whole = document.at("whole").get<bool>(),
                                    .age = decode_age(document),
                                    .held = duration{document.value("held_us", duration::rep{0})},
                                    .outage_grace = decode_grace(document)};
        for (const auto& fields : document.at("objects")) {
            answer.objects.push_back(decode_object(fields));
        }
        return answer;
    });
}

auto decode_versions(const json& query) -> std::optional<object_versions> {
    try {
        auto versions = object_versions{};
        for (const auto& [key, version] : query.at("versions").items()) {
            versions.emplace(key, revision_from(version));
        }
        return versions;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

auto decode_compare_answer(const std::string& text) -> std::optional<compare_answer> {
    return decode<compare_answer>(text, [](const json& document) {
        auto answer =
            compare_answer{.comparison = {.complete_to = revision_from(document.at("at")),
                                          .same = document.at("present").get<std::vector<std::string>>()},
                           .age = decode_age(document),
                           .outage_grace = decode_grace(document)};
        for (const auto& fields : document.at("objects")) {
            auto decoded = decode_object(fields);
            if (decoded.known_for) {
                answer.known_for.emplace(decoded.object.key, *decoded.known_for);
            }
            answer.comparison.differing.push_back(std::move(decoded.object));
        }
        return answer;
    });
}

} // namespace teaselcross
