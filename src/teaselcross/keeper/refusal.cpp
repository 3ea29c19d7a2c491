#include "keeper/refusal.h"

#include "http/fields.h"

#include <nlohmann/json.hpp>

namespace teaselcross {

namespace http = boost::beast::http;

auto refusal_answer(const http_request& request, const request_refusal& refusal) -> http_response {
    const auto not_run = refusal.request_outcome == outcome::not_run;
    const auto name = std::string{name_in(outcome_names, refusal.request_outcome)};
    auto answer = http_response{not_run ? http::status::service_unavailable : http::status::bad_gateway,
                                request.version()};
    answer.set(http::field::content_type, "application/json");
    answer.set(fields::outcome, name);
    answer.set(fields::reason, refusal.reason);
    answer.set(fields::retry_elsewhere, refusal.retry_elsewhere ? "yes" : "no");
    auto body = nlohmann::json{{"error", refusal.text}, {"reason", refusal.reason}, {"outcome", name}};
    if (refusal.retry_after > duration{0}) {
        const auto after = std::chrono::ceil<std::chrono::milliseconds>(refusal.retry_after);
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
        answer.set(fields::retry_after_ms, std::to_string(after.count()));
        answer.set(http::field::retry_after, std::to_string(seconds.count()));
        body["retry_after_ms"] = after.count();
    }
    answer.body() = request.method() == http::verb::head ? std::string{} : body.dump() + "\n";
    answer.prepare_payload();
    return answer;
}

} // namespace teaselcross
