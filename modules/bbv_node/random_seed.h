#ifndef MODULES_BBV_NODE_RANDOM_SEED_H_
#define MODULES_BBV_NODE_RANDOM_SEED_H_

#include <cstdint>
#include <random>

namespace bbv {

// Returns a random seed from std::random_device. Thread safe.
inline uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace bbv

#endif  // MODULES_BBV_NODE_RANDOM_SEED_H_
