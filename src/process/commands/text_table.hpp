#ifndef HICKORYGAP_PROCESS_COMMANDS_TEXT_TABLE_HPP
#define HICKORYGAP_PROCESS_COMMANDS_TEXT_TABLE_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace hickorygap
{

// Plain-text table with aligned columns. Columns that hold only numbers are
// aligned to the right.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    // Adds a row. Missing cells are printed empty; cells beyond the header are
    // dropped.
    void add(std::vector<std::string> row);

    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace hickorygap

#endif
