#pragma once

// The JSON schema of the description.

namespace teaselcross {

constexpr auto description_schema = R"json({
  "type": "object",
  "required": ["data_centres", "services", "targets"],
  "additionalProperties": false,
  "properties": {
    "data_centres": {
      "type": "object",
      "minProperties": 1,
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {"state": {"enum": ["in", "out"]}}
      }
    },
    "services": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "key": {"enum": ["none", "path", "header"]},
          "key_header": {"type": "string", "minLength": 1},
          "shards": {"type": "integer", "minimum": 0, "maximum": 1048576},
          "operations": {"enum": ["durable_intent", "keeper_only"]},
          "default_deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
          "isolation_limit_ms": {"type": ["integer", "null"], "minimum": 30000},
          "queue_limit": {"type": "integer", "minimum": 0, "maximum": 100000},
          "hedge": {"type": "boolean"}
        }
      }
    },
    "targets": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "required": ["service", "data_centre", "host", "port", "slots"],
        "additionalProperties": false,
        "properties": {
          "service": {"type": "string"},
          "data_centre": {"type": "string"},
          "host": {"type": "string", "minLength": 2},
          "port": {"type": "integer", "minimum": 1, "maximum": 65535},
          "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
          "cold_slots": {"type": "integer", "minimum": 1},
          "warm_up_requests": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "connections": {"type": "integer", "minimum": 1, "maximum": 10000},
          "checks_fence": {"type": "boolean"},
          "state": {"enum": ["in", "draining", "lost"]}
        }
      }
    }
  }
})json";

} // namespace teaselcross
