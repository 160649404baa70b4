#include "common/compression.hpp"

#include "common/error.hpp"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <new>

namespace hickorygap
{

namespace
{

// Level of zstd; fast, and compact enough for documents of some 100 KB.
constexpr int compression_level = 3;

// Base-2 logarithms of the smallest and the largest window size, in bytes, that
// zstd accepts.
constexpr int min_window_log = 10;
constexpr int max_window_log = 27;

// Base-2 logarithm of the window size. The window must cover the reference and
// the text, `size` bytes in all.
int window_log(std::size_t size)
{
    return std::clamp(
        static_cast<int>(std::bit_width(size)), min_window_log, max_window_log);
}

absl::Status damaged_error()
{
    return make_error(
        error_kind::invalid_request,
        "the compressed document is damaged or too long; file it again");
}

} // namespace

std::vector<std::uint8_t>
compress(std::string_view text, std::string_view reference)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context{
        ZSTD_createCCtx(), &ZSTD_freeCCtx};
    ZSTD_CCtx_setParameter(
        context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(
        context.get(), ZSTD_c_windowLog,
        window_log(text.size() + reference.size()));
    ZSTD_CCtx_refPrefix(context.get(), reference.data(), reference.size());
    std::vector<std::uint8_t> data(ZSTD_compressBound(text.size()));
    // With a buffer of ZSTD_compressBound() bytes, compression fails only when
    // memory is exhausted.
    const std::size_t size = ZSTD_compress2(
        context.get(), data.data(), data.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0)
    {
        throw std::bad_alloc{};
    }
    data.resize(size);
    return data;
}

absl::StatusOr<std::string> decompress(
    std::span<const std::uint8_t> data, std::size_t max_size,
    std::string_view reference)
{
    const auto size = ZSTD_getFrameContentSize(data.data(), data.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
        size > max_size)
    {
        return damaged_error();
    }
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context{
        ZSTD_createDCtx(), &ZSTD_freeDCtx};
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
    ZSTD_DCtx_refPrefix(context.get(), reference.data(), reference.size());
    std::string text(size, '\0');
    const std::size_t read = ZSTD_decompressDCtx(
        context.get(), text.data(), text.size(), data.data(), data.size());
    if (ZSTD_isError(read) != 0 || read != size)
    {
        return damaged_error();
    }
    return text;
}

} // namespace hickorygap
