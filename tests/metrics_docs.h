#ifndef TESTS_METRICS_DOCS_H_
#define TESTS_METRICS_DOCS_H_

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace bbv_test {

// The families of an exposition text and those of them that docs/METRICS.md
// does not name.
struct DocumentedFamilies {
  int count = 0;
  std::vector<std::string> missing;
};

inline DocumentedFamilies CompareWithDocs(const std::string& exposition) {
  std::ostringstream docs;
  docs << std::ifstream(std::string(BBV_SOURCE_DIR) + "/docs/METRICS.md")
              .rdbuf();
  DocumentedFamilies families;
  std::istringstream text(exposition);
  for (std::string line; std::getline(text, line);) {
    if (!line.starts_with("# TYPE "))
      continue;
    ++families.count;
    const std::string name = line.substr(7, line.find(' ', 7) - 7);
    if (docs.str().find("`" + name + "`") == std::string::npos)
      families.missing.push_back(name);
  }
  return families;
}

}  // namespace bbv_test

#endif  // TESTS_METRICS_DOCS_H_
