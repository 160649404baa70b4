#include "soak/soak_call.hpp"

#include <utility>

namespace hickorygap::test
{

soak_call::soak_call(
    event_loop& loop, const std::string& method, done_function done)
    : loop_{loop}
    , reader_{method}
    , done_{std::move(done)}
{
}

void soak_call::start(
    event_loop& loop, const numeric_address& server, const std::string& method,
    const std::string& text, duration timeout, done_function on_end)
{
    auto call = std::unique_ptr<soak_call>{
        new soak_call{loop, method, std::move(on_end)}};
    soak_call& started = *call;
    started.self_ = std::move(call);
    auto connection = stream_connection::connect(loop, server, started);
    started.timer_ = loop.after(timeout, [&started] { started.finish(); });
    if (!connection.ok())
    {
        loop.defer([&started] { started.finish(); });
        return;
    }
    started.connection_ = *std::move(connection);
    started.connection_->write(text);
}

void soak_call::on_input()
{
    reader_.read(connection_->input());
    if (reader_.current() == response_reader::state::complete ||
        reader_.current() == response_reader::state::broken)
    {
        finish();
    }
}

void soak_call::on_end(connection_end end)
{
    if (end == connection_end::finished)
    {
        reader_.finish();
    }
    finish();
}

void soak_call::finish()
{
    if (!self_)
    {
        return;
    }
    loop_.cancel(timer_);
    call_result end;
    if (reader_.current() != response_reader::state::head_incomplete &&
        reader_.current() != response_reader::state::broken)
    {
        end.status = reader_.head().getStatus();
        end.location = reader_.head().get("Location", "");
    }
    end.complete = reader_.current() == response_reader::state::complete;
    end.body = reader_.body();
    if (connection_)
    {
        connection_->close();
    }
    loop_.destroy_later(std::move(self_));
    done_(end);
}

} // namespace hickorygap::test
