#ifndef MODULES_BBV_CONFIG_INTENT_H_
#define MODULES_BBV_CONFIG_INTENT_H_

#include <string>
#include <vector>

#include "bbv_config/configuration_fold.h"

namespace bbv {

// A change requested by an operator: a verb and its arguments, for example
// {"drain", {"linz-3"}}.
struct Intent {
  std::string verb;
  std::vector<std::string> arguments;
};

// Returns the usage line of every verb that MakePlan() supports. Thread safe.
std::vector<std::string> IntentUsages();

// Creates the plan with this id that performs `intent` on the state in `fold`,
// without applying it. Errors (operation kOperator) name the invalid verb or
// argument. Thread safe.
Result<Plan> MakePlan(const ConfigurationFold& fold,
                      const Intent& intent,
                      const std::string& id);

// Creates the plan that changes the state in `fold` to `desired`. Thread safe.
Plan MakeImportPlan(const ConfigurationFold& fold,
                    const Configuration& desired,
                    const std::string& id);

// Returns a description of the effects of `plan`, one line per changed entity,
// capacity of a layer range or service, and fault that the plan would cause.
// Thread safe.
std::vector<std::string> DescribePlan(const ConfigurationFold& fold,
                                      const Plan& plan);

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_INTENT_H_
