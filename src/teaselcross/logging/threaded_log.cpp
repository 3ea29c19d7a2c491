// Logging from many threads: a thread of log4cplus writes.

#include "logging/log.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <memory>

namespace teaselcross::log {

namespace {

constexpr auto queue_length = 10'000U;

struct backend {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
    std::string instance;
};

auto current() -> std::unique_ptr<backend>& {
    static auto instance = std::unique_ptr<backend>{};
    return instance;
}

auto level_of(level severity) -> log4cplus::LogLevel {
    switch (severity) {
    case level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

auto write_line(level severity, const std::string& text) -> void {
    current()->logger.log(level_of(severity), "instance=" + current()->instance + " " + text);
}

} // namespace

auto start(const std::string& instance, const std::string& minimum) -> void {
    auto created = std::make_unique<backend>();
    auto console = log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{false, true}};
    console->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    created->logger = log4cplus::Logger::getInstance("teaselcross");
    created->logger.setLogLevel(log4cplus::DEBUG_LOG_LEVEL);
    created->logger.setAdditivity(false);
    created->logger.addAppender(
        log4cplus::SharedAppenderPtr{new log4cplus::AsyncAppender{console, queue_length}});
    created->instance = instance;
    current() = std::move(created);
    set_sink(write_line, level_named(minimum));
}

auto stop() -> void {
    set_sink(nullptr, level::error);
    current().reset();
}

} // namespace teaselcross::log
