#include "bbv_core/event.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

TEST_GROUP(Event){};

// docs/EVENTS.md must have exactly one row "| BBV0001 | name |" for each event.
TEST(Event, DocumentedCatalogueMatches) {
  std::set<std::string> rows;
  for (const auto& row : bbv::AllEvents()) {
    char number[16];
    std::snprintf(number, sizeof(number), "BBV%04u",
                  static_cast<unsigned>(row.event));
    rows.insert("| " + std::string(number) + " | " + std::string(row.name) +
                " |");
  }
  std::ifstream file(std::string(BBV_SOURCE_DIR) + "/docs/EVENTS.md");
  std::set<std::string> documented;
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with("| BBV"))
      continue;
    const std::size_t end = line.find('|', line.find('|', 1) + 1);
    documented.insert(line.substr(0, end + 1));
  }
  for (const std::string& row : rows) {
    if (!documented.contains(row))
      FAIL(("docs/EVENTS.md lacks " + row).c_str());
  }
  CHECK_EQUAL(rows.size(), documented.size());
}
