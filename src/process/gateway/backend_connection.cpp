#include "process/gateway/backend_connection.hpp"

#include "common/hashing.hpp"
#include "common/logging.hpp"
#include "process/gateway/backend_pool.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

backend_connection::backend_connection(
    backend_pool& pool, const backend_record& backend)
    : pool_{pool}
    , backend_{backend.id}
    , service_{hash_name(backend.listed.service)}
    , server_start_{backend.start}
{
}

void backend_connection::send(
    std::string_view request, std::string_view method,
    response_observer& receiver)
{
    reader_.emplace(method);
    receiver_ = &receiver;
    if (is_connected())
    {
        channel_->write(request);
    }
    else
    {
        unsent_ = request;
    }
}

bool backend_connection::has_refused(std::uint64_t attempt) const
{
    return std::ranges::find(refused_, attempt) != refused_.end();
}

std::optional<instance_id> backend_connection::tunnel_host() const
{
    return tunnel_ == nullptr ? std::nullopt : std::optional{hosts_.back()};
}

void backend_connection::announce(
    std::optional<duration> declined_for, bool is_leaving)
{
    if (tunnel_ != nullptr)
    {
        tunnel_->announce(declined_for, is_leaving);
    }
}

void backend_connection::set_reading(bool reading)
{
    channel_->set_reading(reading);
}

// The previous channel is destroyed after the current handlers have returned.
void backend_connection::replace_channel(std::unique_ptr<byte_channel> channel)
{
    if (channel_)
    {
        channel_->close();
        pool_.loop().destroy_later(std::move(channel_));
    }
    channel_ = std::move(channel);
}

void backend_connection::start_dial_timer(duration limit)
{
    pool_.loop().cancel(dial_timer_);
    dial_timer_ = pool_.loop().after(
        limit,
        [this]
        {
            channel_->close();
            on_end(connection_end::refused);
        });
}

void backend_connection::on_connected()
{
    pool_.loop().cancel(dial_timer_);
    pool_.on_established(*this);
    if (!unsent_.empty())
    {
        channel_->write(std::exchange(unsent_, {}));
    }
    if (on_probed_)
    {
        pool_.keep_probed(*this);
        end_probe(true);
    }
}

void backend_connection::end_probe(bool established)
{
    if (const auto on_probed = std::exchange(on_probed_, nullptr))
    {
        on_probed(established);
    }
}

void backend_connection::on_input()
{
    if (receiver_ == nullptr)
    {
        // Bytes without a request: a duplicate response, or an error sent
        // before the server closes.
        log(log_level::info, subsystem::http,
            "surplus_bytes backend={:016x} count={}", backend_,
            channel_->input().size());
        pool_.abandon(*this);
        return;
    }
    reader_->read(channel_->input());
    receiver_->on_response();
}

void backend_connection::on_end(connection_end end)
{
    pool_.loop().cancel(dial_timer_);
    if (end == connection_end::refused && pool_.try_other_path(*this))
    {
        return;
    }
    response_observer* receiver = std::exchange(receiver_, nullptr);
    if (receiver != nullptr)
    {
        if (end == connection_end::refused && !is_declined_)
        {
            pool_.table().on_unreachable(backend_, pool_.loop().now());
        }
        // A response that ends with its connection is complete only after an
        // orderly close.
        if (end == connection_end::finished &&
            reader_->finish() == response_reader::state::complete)
        {
            receiver_ = receiver;
            receiver->on_response();
            return;
        }
    }
    pool_.remove(*this);
    end_probe(is_declined_);
    if (receiver != nullptr)
    {
        receiver->on_connection_lost(end);
    }
}

} // namespace hickorygap
