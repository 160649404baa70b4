#include "common/random.hpp"
#include "request/placement/chat_directory.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <list>

using namespace hickorygap;

namespace
{

// Reference model of the directory: a list of chats, the most recent first.
struct directory_model
{
    struct entry
    {
        chat_id chat;
        std::array<engine_index, 2> engines;
    };

    std::list<entry>::iterator find(chat_id chat)
    {
        return std::find_if(
            entries.begin(), entries.end(),
            [&](const entry& known) { return known.chat == chat; });
    }

    void put(chat_id chat, engine_index engine, std::size_t capacity)
    {
        entry made{chat, {engine, no_engine}};
        const auto known = find(chat);
        if (known != entries.end())
        {
            made.engines = known->engines[0] == engine
                               ? known->engines
                               : std::array{engine, known->engines[0]};
            entries.erase(known);
        }
        else if (entries.size() == capacity)
        {
            entries.pop_back();
        }
        entries.push_front(made);
    }

    void forget(chat_id chat, engine_index engine)
    {
        const auto known = find(chat);
        if (known != entries.end() && remove(*known, engine))
        {
            entries.erase(known);
        }
    }

    // Returns true when no engine is left.
    static bool remove(entry& known, engine_index engine)
    {
        if (known.engines[1] == engine)
        {
            known.engines[1] = no_engine;
        }
        if (known.engines[0] == engine)
        {
            known.engines = {known.engines[1], no_engine};
        }
        return known.engines[0] == no_engine;
    }

    std::list<entry> entries;
};

} // namespace

// Guards against a directory that grows without limit, evicts a chat that was
// served recently, or loses or mixes up entries.
TEST_CASE("the directory behaves like a bounded list of the most recent chats")
{
    rc::prop(
        "random changes",
        [](std::uint64_t seed)
        {
            const auto capacity = *rc::gen::inRange<std::size_t>(1, 200);
            random_engine random{seed};
            chat_directory directory{capacity};
            directory_model model;
            time_point now;
            for (int step = 0; step < 1000; ++step)
            {
                now = now + std::chrono::milliseconds{1};
                const chat_id chat = 1 + random_below(random, 300);
                const auto engine =
                    static_cast<engine_index>(random_below(random, 5));
                const auto kind = random_below(random, 100);
                if (kind < 70)
                {
                    directory.put(chat, engine, now);
                    model.put(chat, engine, capacity);
                }
                else if (kind < 99)
                {
                    directory.forget(chat, engine, now);
                    model.forget(chat, engine);
                }
                else
                {
                    directory.forget_engine(engine);
                    model.entries.remove_if(
                        [&](directory_model::entry& known)
                        { return directory_model::remove(known, engine); });
                }
                RC_ASSERT(directory.size() == model.entries.size());
                RC_ASSERT(directory.size() <= capacity);
            }
            auto expected = model.entries.begin();
            directory.visit_latest(
                [&](chat_id chat, engine_index engine)
                {
                    RC_ASSERT(chat == expected->chat);
                    RC_ASSERT(engine == expected->engines[0]);
                    RC_ASSERT(directory.find(chat) == expected->engines);
                    ++expected;
                    return true;
                });
            RC_ASSERT(expected == model.entries.end());
        });
}
