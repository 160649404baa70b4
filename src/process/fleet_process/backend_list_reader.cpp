#include "process/fleet_process/backend_list_reader.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Timeout of one page. A page takes a few ms, or half a second over a saturated
// link; after a timeout the caller starts the read again.
constexpr duration page_timeout = std::chrono::milliseconds{1500};

// A list with more pages than this, some 50,000 servers, is taken for endless
// and the read fails.
constexpr std::size_t max_pages = 1000;

// A page that the server refuses with status 429 (too many requests) is
// requested again after this pause, up to this number of times in one read. If
// the read failed instead, a list of many pages would never be read completely.
constexpr duration rate_limit_pause = std::chrono::milliseconds{100};
constexpr std::size_t max_rate_limited_calls = 50;

constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;

} // namespace

backend_list_reader::backend_list_reader(
    event_loop& loop, const backend_list_format& format, numeric_address server)
    : loop_{loop}
    , format_{format}
    , server_{std::move(server)}
{
}

backend_list_reader::~backend_list_reader()
{
    loop_.cancel(pause_timer_);
}

void backend_list_reader::cancel()
{
    if (!is_reading())
    {
        return;
    }
    ++generation_;
    on_done_ = nullptr;
    loop_.cancel(pause_timer_);
    loop_.destroy_later(std::move(call_));
}

void backend_list_reader::read(duration pause, done_function on_done)
{
    if (is_reading())
    {
        return;
    }
    pause_ = pause;
    on_done_ = std::move(on_done);
    backends_.clear();
    pages_read_ = 0;
    rate_limited_calls_ = 0;
    request_page({});
}

void backend_list_reader::request_page(std::string_view page)
{
    requested_page_ = page;
    call_ = std::make_unique<http_get>(
        loop_, server_, format_.page_target(page), page_timeout,
        [this,
         generation = generation_](absl::StatusOr<http_get::result> result)
        {
            // Deferred, because the call must not be destroyed within its own
            // callback.
            loop_.defer(
                [this, generation, outcome = std::move(result)]() mutable
                {
                    if (generation == generation_)
                    {
                        on_page(std::move(outcome));
                    }
                });
        });
}

void backend_list_reader::on_page(absl::StatusOr<http_get::result> result)
{
    if (!result.ok())
    {
        finish(result.status());
        return;
    }
    if (result->status != status_ok)
    {
        const bool rate_limited = result->status == status_too_many_requests;
        if (rate_limited && rate_limited_calls_++ < max_rate_limited_calls)
        {
            request_page_after(
                std::max(pause_, rate_limit_pause), requested_page_);
            return;
        }
        finish(make_error(
            rate_limited ? error_kind::overloaded : error_kind::unreachable,
            fmt::format(
                "the server of the backend list answered status {} instead "
                "of 200; the list is read again",
                result->status)));
        return;
    }
    ++pages_read_;
    auto page = format_.decode_page(result->body);
    if (!page.ok())
    {
        finish(page.status());
        return;
    }
    if (page->unreadable > 0)
    {
        log(log_level::warning, subsystem::routing,
            "list_entries_skipped count={}", page->unreadable);
    }
    std::move(
        page->backends.begin(), page->backends.end(),
        std::back_inserter(backends_));
    if (page->next_page.empty())
    {
        pages_of_last_read_ = pages_read_;
        finish(std::move(backends_));
    }
    else if (pages_read_ >= max_pages)
    {
        finish(make_error(
            error_kind::invalid_request,
            "the list of backend servers has too many pages; check the server "
            "that provides it"));
    }
    else
    {
        request_page_after(pause_, page->next_page);
    }
}

void backend_list_reader::request_page_after(duration pause, std::string page)
{
    pause_timer_ = loop_.after(
        pause, [this, next = std::move(page)] { request_page(next); });
}

void backend_list_reader::finish(
    absl::StatusOr<std::vector<listed_backend>> outcome)
{
    call_.reset();
    const done_function done = std::exchange(on_done_, nullptr);
    done(std::move(outcome));
}

} // namespace hickorygap
