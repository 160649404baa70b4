#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_LIST_READER_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_LIST_READER_HPP

#include "connection/h1/http_get.hpp"
#include "request/dispatch/listed_backend.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Reads the whole list of backend servers over HTTP, page by page.
class backend_list_reader
{
public:
    using done_function =
        std::function<void(absl::StatusOr<std::vector<listed_backend>>)>;

    backend_list_reader(
        event_loop& loop, const backend_list_format& format,
        numeric_address server);
    ~backend_list_reader();

    // Starts a read, with a pause between the calls for its pages; has no
    // effect while a read is in progress. on_done is called once unless the
    // read is cancelled. Errors: those of http_get; overloaded when the server
    // keeps refusing the rate of calls; unreachable for another status than
    // 200; invalid_request for a page that can't be decoded or a list without
    // end.
    void read(duration pause, done_function on_done);

    // Cancels a read that is in progress, without a call of on_done.
    void cancel();

    bool is_reading() const
    {
        return on_done_ != nullptr;
    }

    // Number of pages of the last complete read.
    std::size_t pages() const
    {
        return pages_of_last_read_;
    }

private:
    void request_page(std::string_view page);
    void request_page_after(duration pause, std::string page);
    void on_page(absl::StatusOr<http_get::result> result);
    void finish(absl::StatusOr<std::vector<listed_backend>> outcome);

    event_loop& loop_;
    const backend_list_format& format_;
    numeric_address server_;
    done_function on_done_;
    duration pause_{0};
    timer_id pause_timer_ = 0;
    std::unique_ptr<http_get> call_;

    // Incremented by each cancelled read, so that an answer to it that is still
    // in the loop's queue is recognised and ignored.
    std::uint64_t generation_ = 0;
    std::vector<listed_backend> backends_;

    // Token of the page that was requested last, and the number of pages that
    // this read has decoded.
    std::string requested_page_;
    std::size_t pages_read_ = 0;

    // Calls of this read that the server refused with status 429.
    std::size_t rate_limited_calls_ = 0;
    std::size_t pages_of_last_read_ = 1;
};

} // namespace hickorygap

#endif
