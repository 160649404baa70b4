#ifndef HICKORYGAP_TESTS_SUPPORT_CUT_DIALER_HPP
#define HICKORYGAP_TESTS_SUPPORT_CUT_DIALER_HPP

#include "connection/event/server_dialer.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace hickorygap::test
{

// What a partition does to connections.
enum class cut_mode
{
    none,

    // New ones are never established, open ones transfer nothing.
    hang,

    // New ones are refused, open ones are reset.
    reset,

    // New ones are refused, open ones work.
    refuse_new
};

// Dials servers over a path that a test can cut.
class cut_dialer final : public server_dialer
{
public:
    // Cuts the path to the servers on these ports, or to all if there are none.
    void cut(cut_mode mode, std::set<std::uint16_t> ports = {})
    {
        mode_ = mode;
        ports_ = std::move(ports);
        const std::set<channel*> open = channels_;
        for (channel* each : open)
        {
            each->apply();
        }
    }

    absl::StatusOr<std::unique_ptr<byte_channel>> dial(
        event_loop& loop, const numeric_address& address,
        connection_observer& observer) override
    {
        auto added =
            std::make_unique<channel>(*this, loop, address.port, observer);
        if (mode_to(address.port) == cut_mode::none)
        {
            auto stream = stream_connection::connect(loop, address, *added);
            if (!stream.ok())
            {
                return stream.status();
            }
            added->start(*std::move(stream));
        }
        else if (mode_to(address.port) != cut_mode::hang)
        {
            added->refuse();
        }
        return added;
    }

private:
    class channel final : public byte_channel, public connection_observer
    {
    public:
        channel(
            cut_dialer& owner, event_loop& loop, std::uint16_t port,
            connection_observer& observer)
            : owner_{owner}
            , loop_{loop}
            , port_{port}
            , observer_{observer}
        {
            owner_.channels_.insert(this);
        }
        ~channel() override
        {
            loop_.cancel(timer_);
            owner_.channels_.erase(this);
        }

        void start(std::unique_ptr<stream_connection> stream)
        {
            stream_ = std::move(stream);
        }
        void refuse()
        {
            end_later(connection_end::refused);
        }

        // The path has been cut or has healed.
        void apply()
        {
            if (stream_ == nullptr)
            {
                return;
            }
            if (mode() == cut_mode::reset)
            {
                end_later(connection_end::reset);
            }
            stream_->set_reading(reading_ && mode() != cut_mode::hang);
        }

        std::string& input() override
        {
            return stream_ ? stream_->input() : nothing_;
        }
        bool has_unread_input() const override
        {
            return stream_ && mode() != cut_mode::hang &&
                   stream_->has_unread_input();
        }
        void write(std::string_view bytes) override
        {
            if (mode() != cut_mode::hang && stream_)
            {
                stream_->write(bytes);
            }
        }
        void set_reading(bool reading) override
        {
            reading_ = reading;
            if (stream_)
            {
                stream_->set_reading(reading && mode() != cut_mode::hang);
            }
        }
        std::size_t pending_output() const override
        {
            return stream_ ? stream_->pending_output() : 0;
        }
        bool is_open() const override
        {
            return is_open_;
        }
        bool is_connected() const override
        {
            return stream_ && stream_->is_connected();
        }
        time_point last_input() const override
        {
            return stream_ ? stream_->last_input() : time_point{};
        }
        void close() override
        {
            is_open_ = false;
            loop_.cancel(timer_);
            if (stream_)
            {
                stream_->close();
            }
        }

        void on_connected() override
        {
            observer_.on_connected();
        }
        void on_input() override
        {
            observer_.on_input();
        }
        void on_drained() override
        {
            observer_.on_drained();
        }
        void on_end(connection_end end) override
        {
            is_open_ = false;
            observer_.on_end(end);
        }

    private:
        cut_mode mode() const
        {
            return owner_.mode_to(port_);
        }

        void end_later(connection_end end)
        {
            loop_.cancel(timer_);
            timer_ = loop_.after(
                duration{0},
                [this, end]
                {
                    timer_ = 0;
                    close();
                    observer_.on_end(end);
                });
        }

        cut_dialer& owner_;
        event_loop& loop_;
        std::uint16_t port_;
        connection_observer& observer_;
        std::unique_ptr<stream_connection> stream_;
        std::string nothing_;
        timer_id timer_ = 0;
        bool is_open_ = true;
        bool reading_ = true;
    };

    cut_mode mode_to(std::uint16_t port) const
    {
        return ports_.empty() || ports_.contains(port) ? mode_ : cut_mode::none;
    }

    cut_mode mode_ = cut_mode::none;
    std::set<std::uint16_t> ports_;
    std::set<channel*> channels_;
};

} // namespace hickorygap::test

#endif
