#ifndef MODULES_BBV_CONFIG_INTENT_H_
#define MODULES_BBV_CONFIG_INTENT_H_

#include <string>
#include <vector>

#include "bbv_config/configuration_fold.h"

namespace bbv {

// What an operator wants changed: a verb and its words, for instance
// {"drain", {"linz-3"}}.
struct Intent {
  std::string verb;
  std::vector<std::string> arguments;
};

// Returns the usage line of every verb that MakePlan() knows. Thread safe.
std::vector<std::string> IntentUsages();

// Computes the plan that fulfils `intent` on the state in `fold`, under the
// given id. Errors (step kOperator) name the word at fault; nothing is changed
// either way. Thread safe.
Result<Plan> MakePlan(const ConfigurationFold& fold,
                      const Intent& intent,
                      const std::string& id);

// Returns the plan that turns the state in `fold` into `desired`.
Plan MakeImportPlan(const ConfigurationFold& fold,
                    const Configuration& desired,
                    const std::string& id);

// Returns the lines that show what `plan` would do to each changed entity and
// to the capacity of each model's layer ranges and each service. Thread safe.
std::vector<std::string> DescribePlan(const ConfigurationFold& fold,
                                      const Plan& plan);

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_INTENT_H_
