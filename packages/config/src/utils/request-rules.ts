import type { RequestRule } from "../types/document.ts";

/** Decodes percent-encoding; a path with an invalid encoding is returned unchanged. */
function decodePath(path: string): string {
    try {
        return decodeURIComponent(path);
    }
    catch {
        return path;
    }
}

/** Returns the same form for all paths that backend servers commonly treat as equal. */
function normalizePath(path: string): string {
    const [withoutQuery = ""] = path.split(/[?#]/, 1);
    const parts: string[] = [];
    for (const part of decodePath(withoutQuery).replaceAll("\\", "/").toLowerCase().split("/")) {
        if (part === "" || part === ".") continue;
        if (part === "..") parts.pop();
        else parts.push(part);
    }
    return `/${parts.join("/")}`;
}

function matchesPath(pattern: string, path: string): boolean {
    if (!pattern.endsWith("*")) return normalizePath(pattern) === path;
    const stem = pattern.slice(0, -1);
    const prefix = normalizePath(stem);
    if (!stem.endsWith("/")) return path.startsWith(prefix);
    return prefix === "/" || path === prefix || path.startsWith(`${prefix}/`);
}

/**
 * Returns whether a request matches a rule.
 *
 * @example
 * matchesRule({ method: "POST", path: "/orders/*" }, "POST", "/orders/7?now=1"); // true
 */
export function matchesRule(rule: RequestRule, method: string, path: string): boolean {
    return rule.method === method.toUpperCase() && matchesPath(rule.path, normalizePath(path));
}
