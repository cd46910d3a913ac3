import type { Setting } from "../types/setting.ts";

export function toFlag(setting: Setting): string {
    return `--${setting.name}`;
}

export function toVariable(setting: Setting): string {
    return `SKYLARKMILL_${setting.name.replaceAll("-", "_").toUpperCase()}`;
}

/** Returns the name of a setting for messages, such as `--listen (SKYLARKMILL_LISTEN)`. */
export function toLabel(setting: Setting): string {
    return setting.isSecret === true ? toVariable(setting) : `${toFlag(setting)} (${toVariable(setting)})`;
}
