// Command sapphirespread is an overload control layer for service call graphs.
package main

func main() {}
