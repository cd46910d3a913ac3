import { measureControlCost } from "./sockets/control-cost.ts";
const sizes=[[350,790,120,3900]];
for (const [r,a,m,ad] of sizes) console.log(JSON.stringify(await measureControlCost({routerCount:r!,agentCount:a!,modelCount:m!,adapterCount:ad!})));
process.exit(0);
