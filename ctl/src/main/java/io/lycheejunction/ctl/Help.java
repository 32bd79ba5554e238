package io.lycheejunction.ctl;

/** The text that {@code help} prints in the interactive shell. */
final class Help {
  static final String TEXT =
      """
      show config|groups|services|targets|proxies|lag|refused|changes|burn
          [where COLUMN OP VALUE [and ...]] [order by COLUMN [asc|desc]] [limit N]
      show change ID
      create group NAME targets (TARGET in DOMAIN at IP:PORT, ...) slots N connections N
      alter group NAME [targets (...)] [slots N] [connections N]
      drop group NAME
      create service NAME on GROUP [with RULE=VALUE, ...]
      alter service NAME with RULE=VALUE, ...
      drop service NAME
      drain target TARGET
      undrain target TARGET
          each of these may end with: if version N
      shutdown proxy PROXY
      promote TARGET
      rules: durability=majority|primary, max_age=2s, cut_off_reads=refuse|serve_older, weight=N
      help, exit
      """;

  private Help() {}
}
