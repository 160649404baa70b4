#include "process/commands/text_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

namespace hickorygap
{

namespace
{

bool is_number(const std::string& text)
{
    return text.find_first_not_of("0123456789.,%-") == std::string::npos;
}

} // namespace

text_table::text_table(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> row)
{
    row.resize(rows_.front().size());
    rows_.push_back(std::move(row));
}

void text_table::print(std::ostream& out) const
{
    const std::size_t columns = rows_.front().size();
    std::vector<std::size_t> widths(columns);
    std::vector<bool> numeric(columns, true);
    for (std::size_t i = 0; i < rows_.size(); ++i)
    {
        for (std::size_t column = 0; column < columns; ++column)
        {
            const std::string& cell = rows_[i][column];
            widths[column] = std::max(widths[column], cell.size());
            numeric[column] = numeric[column] && (i == 0 || is_number(cell));
        }
    }
    for (const auto& row : rows_)
    {
        std::string line;
        for (std::size_t column = 0; column < columns; ++column)
        {
            line += numeric[column]
                        ? fmt::format("{:>{}}  ", row[column], widths[column])
                        : fmt::format("{:<{}}  ", row[column], widths[column]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

} // namespace hickorygap
