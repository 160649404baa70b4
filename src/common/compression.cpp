#include "common/compression.hpp"

#include "common/error.hpp"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <array>
#include <sstream>

namespace hickorygap
{

std::vector<std::uint8_t> compress(std::string_view text)
{
    std::ostringstream output;
    Poco::DeflatingOutputStream deflater{
        output, Poco::DeflatingStreamBuf::STREAM_ZLIB};
    deflater.write(text.data(), static_cast<std::streamsize>(text.size()));
    deflater.close();
    const std::string bytes = output.str();
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<std::string>
decompress(std::span<const std::uint8_t> data, std::size_t max_size)
{
    const auto damaged = []
    {
        return make_error(
            error_kind::invalid_request,
            "the compressed document is damaged or too long; file it again");
    };
    // The compressor writes nothing for an empty text.
    if (data.empty())
    {
        return std::string{};
    }
    try
    {
        Poco::MemoryInputStream input{
            reinterpret_cast<const char*>(data.data()),
            static_cast<std::streamsize>(data.size())};
        Poco::InflatingInputStream inflater{
            input, Poco::InflatingStreamBuf::STREAM_ZLIB};
        std::string text;
        std::array<char, 4096> buffer;
        while (inflater)
        {
            inflater.read(buffer.data(), buffer.size());
            text.append(
                buffer.data(), static_cast<std::size_t>(inflater.gcount()));
            if (text.size() > max_size)
            {
                return damaged();
            }
        }
        if (inflater.bad())
        {
            return damaged();
        }
        return text;
    }
    catch (const Poco::Exception&)
    {
        return damaged();
    }
}

} // namespace hickorygap
