import { ignoreHangup } from "./hangup.ts";

ignoreHangup();
