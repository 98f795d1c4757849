#include "bbv_entry/call_format.h"

namespace bbv {

std::string PathText(const CallDispatch& dispatch) {
  std::string text;
  for (std::size_t it = 0; it < dispatch.layers.size(); ++it) {
    if (it > 0)
      text += ' ';
    text += dispatch.hop_ids[it] + '=' +
            std::to_string(dispatch.layers[it].from) + '-' +
            std::to_string(dispatch.layers[it].to);
  }
  return text;
}

}  // namespace bbv
