#ifndef HICKORYGAP_TESTS_SUPPORT_ENGINE_HANDLER_HPP
#define HICKORYGAP_TESTS_SUPPORT_ENGINE_HANDLER_HPP

#include "support/engine_model.hpp"
#include "support/stand_in_http.hpp"

namespace hickorygap::testing
{

// HTTP API of the simulated inference engine:
//   POST /v1/chat/completions  "stream": true for server-sent events; headers
//       X-Attempt (echoed), X-Rank, X-Chat-Id, X-Resume-From
//   GET /load    {"in_flight", "queued", "slots", "age_ms"}
//   GET /events?after=N  {"last": n, "events": [{"sequence", "kind", "chat"}]}
//   POST /orders {"term", "ticket", ...}; 409 when the fencing number is stale
//   GET /orders  the last order accepted
//   GET /stats   counters and cache hits by chat
stand_in_function make_engine_handler(engine_model& engine);

} // namespace hickorygap::testing

#endif
